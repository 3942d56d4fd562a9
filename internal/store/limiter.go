package store

import (
	"sync"
	"time"
)

// limiter keeps requests and changes below the key-value store's rate limits. The limits
// apply to all controllers together, but most controllers are idle at any time. Each may
// therefore use most of a limit; if they exceed it together, the store refuses requests.
type limiter struct {
	mu       sync.Mutex
	requests tokenBucket
	changes  tokenBucket
}

// perControllerShare is the share of a limit that one controller may use.
const perControllerShare = 0.8

func newLimiter(requestsPerSecond, changesPerSecond float64) *limiter {
	return &limiter{
		requests: tokenBucket{rate: requestsPerSecond * perControllerShare},
		changes:  tokenBucket{rate: changesPerSecond * perControllerShare},
	}
}

// setChangeRate sets the limit on changes.
func (l *limiter) setChangeRate(changesPerSecond float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes.rate = changesPerSecond * perControllerShare
	l.changes.tokens = min(l.changes.tokens, l.changes.rate)
}

// wait waits until one request with the given number of changes may be sent. It reports
// false if that is not possible within the timeout.
func (l *limiter) wait(changes int, timeout time.Duration) bool {
	for {
		delay := l.reserve(float64(changes))
		if delay == 0 {
			return true
		}
		if delay > timeout {
			return false
		}
		timeout -= delay
		time.Sleep(delay)
	}
}

// reserve takes the tokens for one request, or returns how long to wait for them.
func (l *limiter) reserve(changes float64) (waitTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.requests.refill(now)
	l.changes.refill(now)
	if waitTime := max(l.requests.waitTime(1), l.changes.waitTime(changes)); waitTime > 0 {
		return waitTime
	}
	l.requests.tokens--
	l.changes.tokens -= changes // negative if there are more changes than the bucket holds
	return 0
}

// tokenBucket allows rate tokens per second, and bursts of one second's worth.
type tokenBucket struct {
	rate, tokens float64
	refilledAt   time.Time
}

// refill adds the tokens accrued since the last call. A new bucket is full.
func (b *tokenBucket) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.tokens = b.rate
	} else {
		b.tokens = min(b.rate, b.tokens+now.Sub(b.refilledAt).Seconds()*b.rate)
	}
	b.refilledAt = now
}

// waitTime returns how long to wait for n tokens, or for a full bucket if n exceeds it.
func (b *tokenBucket) waitTime(n float64) time.Duration {
	n = min(n, b.rate)
	if b.tokens >= n {
		return 0
	}
	return time.Duration((n - b.tokens) / b.rate * float64(time.Second))
}
