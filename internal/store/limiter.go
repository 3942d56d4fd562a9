package store

import (
	"sync"
	"time"
)

// limiter keeps requests and changes below the state service's limits. The
// limits are for all controllers together, most of whom are quiet at any time;
// each may use most of them, and the service's own refusals do the rest.
type limiter struct {
	mu             sync.Mutex
	requests, puts bucket
}

// bucket allows rate a second, and a second's worth at once.
type bucket struct {
	rate, level float64
	at          time.Time
}

// ownPart is the part of a limit that one controller may use.
const ownPart = 0.8

func newLimiter(rps, writes float64) *limiter {
	return &limiter{requests: bucket{rate: rps * ownPart}, puts: bucket{rate: writes * ownPart}}
}

// setWrites changes the limit on changes.
func (l *limiter) setWrites(writes float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.puts.rate = writes * ownPart
	l.puts.level = min(l.puts.level, l.puts.rate)
}

func (b *bucket) fill(now time.Time) {
	if b.at.IsZero() {
		b.level = b.rate
	} else {
		b.level = min(b.rate, b.level+now.Sub(b.at).Seconds()*b.rate)
	}
	b.at = now
}

// delay is how long to wait before n more may go.
func (b *bucket) delay(n float64) time.Duration {
	n = min(n, b.rate)
	if b.level >= n {
		return 0
	}
	return time.Duration((n - b.level) / b.rate * float64(time.Second))
}

// wait takes room for one request with that many changes, or reports that
// there will be none within patience.
func (l *limiter) wait(puts int, patience time.Duration) bool {
	for {
		d := l.take(float64(puts))
		if d == 0 {
			return true
		}
		if d > patience {
			return false
		}
		patience -= d
		time.Sleep(d)
	}
}

func (l *limiter) take(puts float64) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.requests.fill(now)
	l.puts.fill(now)
	if d := max(l.requests.delay(1), l.puts.delay(puts)); d > 0 {
		return d
	}
	l.requests.level--
	l.puts.level -= puts
	return 0
}
