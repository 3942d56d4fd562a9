package emulator

import "time"

// tokenBucket is a rate limiter that allows rate tokens per second and bursts of up to burst.
type tokenBucket struct {
	rate, burst, tokens float64
	refilledAt          time.Duration
}

// newTokenBucket returns a full bucket.
func newTokenBucket(rate, burst float64) tokenBucket {
	return tokenBucket{rate: rate, burst: burst, tokens: burst}
}

// take removes n tokens from the bucket. If there are fewer, it removes none and returns false.
func (b *tokenBucket) take(now time.Duration, n float64) bool {
	b.tokens = min(b.burst, b.tokens+(now-b.refilledAt).Seconds()*b.rate)
	b.refilledAt = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}
