package emulator

import "time"

// tokenBucket is a limit of rate a second with bursts.
type tokenBucket struct {
	rate, burst, level float64
	refilledAt         time.Duration
}

func newTokenBucket(rate, burst float64) tokenBucket {
	return tokenBucket{rate: rate, burst: burst, level: burst}
}

// take takes n out of the bucket, or tells that it does not hold as much.
func (b *tokenBucket) take(now time.Duration, n float64) bool {
	b.level = min(b.burst, b.level+(now-b.refilledAt).Seconds()*b.rate)
	b.refilledAt = now
	if b.level < n {
		return false
	}
	b.level -= n
	return true
}
