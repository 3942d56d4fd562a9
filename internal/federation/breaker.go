package federation

import "time"

// circuitBreaker keeps a site from wasting tries on a peer that does not answer. It opens
// after some times in a row that a peer has said nothing for RetryS after a try,
// however many tries there were meanwhile. When its pause is over a single try may
// pass, and the next pause, twice as long, begins with it; any answer closes it.
type circuitBreaker struct {
	// firstTryAt is when the first try was made that nothing has followed.
	firstTryAt time.Duration
	failures   int
	// pause is 0 while the breaker is closed.
	pause     time.Duration
	openUntil time.Duration
}

// allows tells whether a try may be made now.
func (b *circuitBreaker) allows(now time.Duration) bool { return b.pause == 0 || now >= b.openUntil }

// onTry notes that a try is made.
func (b *circuitBreaker) onTry(now time.Duration, cfg *Config) {
	if b.firstTryAt == 0 {
		b.firstTryAt = now
	}
	if b.pause > 0 {
		b.open(now, min(2*b.pause, seconds(cfg.RetryMaxS)))
	}
}

// checkTimeout counts a try that had no answer in time.
func (b *circuitBreaker) checkTimeout(now time.Duration, cfg *Config) {
	if b.firstTryAt == 0 || now-b.firstTryAt < seconds(cfg.RetryS) {
		return
	}
	b.firstTryAt = 0
	b.failures++
	if b.failures >= cfg.BreakerThreshold && b.pause == 0 {
		b.open(now, seconds(cfg.RetryS))
	}
}

func (b *circuitBreaker) open(now, pause time.Duration) {
	b.pause = pause
	b.openUntil = now + pause
}

// close closes the breaker.
func (b *circuitBreaker) close() { *b = circuitBreaker{} }

// state names the breaker's state.
func (b *circuitBreaker) state(now time.Duration) string {
	switch {
	case b.pause == 0:
		return "closed"
	case b.allows(now):
		return "half-open"
	}
	return "open"
}
