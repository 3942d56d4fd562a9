package store

import (
	"sync"
	"time"
)

// limiter keeps requests and changes below the key-value store's limits. The
// limits are for all controllers together, most of whom are quiet at any time;
// each may use most of them, and the store's own refusals do the rest.
type limiter struct {
	mu       sync.Mutex
	requests tokenBucket
	changes  tokenBucket
}

// ownShare is the part of a limit that one controller may use.
const ownShare = 0.8

func newLimiter(rps, writes float64) *limiter {
	return &limiter{
		requests: tokenBucket{rate: rps * ownShare},
		changes:  tokenBucket{rate: writes * ownShare},
	}
}

// setWrites changes the limit on changes.
func (l *limiter) setWrites(writes float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changes.rate = writes * ownShare
	l.changes.tokens = min(l.changes.tokens, l.changes.rate)
}

// wait takes room for one request with that many changes, or reports that
// there will be none within the timeout.
func (l *limiter) wait(changes int, timeout time.Duration) bool {
	for {
		delay := l.take(float64(changes))
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

// take takes room for one request, or tells how long to wait for it.
func (l *limiter) take(changes float64) (delay time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.requests.fill(now)
	l.changes.fill(now)
	if delay := max(l.requests.delay(1), l.changes.delay(changes)); delay > 0 {
		return delay
	}
	l.requests.tokens--
	l.changes.tokens -= changes
	return 0
}

// tokenBucket allows rate a second, and a second's worth at once.
type tokenBucket struct {
	rate, tokens float64
	filledAt     time.Time
}

// fill adds what the rate allows since the last call. A new bucket is full.
func (b *tokenBucket) fill(now time.Time) {
	if b.filledAt.IsZero() {
		b.tokens = b.rate
	} else {
		b.tokens = min(b.rate, b.tokens+now.Sub(b.filledAt).Seconds()*b.rate)
	}
	b.filledAt = now
}

// delay is how long to wait before n more may go.
func (b *tokenBucket) delay(n float64) time.Duration {
	n = min(n, b.rate)
	if b.tokens >= n {
		return 0
	}
	return time.Duration((n - b.tokens) / b.rate * float64(time.Second))
}
