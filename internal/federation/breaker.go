package federation

import "time"

// circuitBreaker limits the attempts made to reach a peer that does not answer. It opens after
// BreakerThreshold consecutive failures. A failure is counted if the peer sends nothing for
// RetryS after an attempt, however many attempts are made in that time. Once the open interval
// has passed, a single attempt is allowed as a probe. The probe starts the next open interval,
// which is twice as long, up to RetryMaxS. Any message from the peer closes the breaker, and so does
// the input PeerReachable.
type circuitBreaker struct {
	// firstUnansweredAt is the time of the first attempt since the peer last sent anything or
	// the last failure was counted; 0 if there was none.
	firstUnansweredAt time.Duration
	failures          int
	// openInterval is how long the breaker stays open before the next probe, or 0 while it is
	// closed.
	openInterval time.Duration
	openUntil    time.Duration
}

// allows reports whether an attempt may be made now.
func (b *circuitBreaker) allows(now time.Duration) bool {
	return b.openInterval == 0 || now >= b.openUntil
}

// onAttempt records an attempt. If the breaker was open, the attempt is a probe, and the open
// interval doubles up to RetryMaxS.
func (b *circuitBreaker) onAttempt(now time.Duration, cfg *Config) {
	if b.firstUnansweredAt == 0 {
		b.firstUnansweredAt = now
	}
	if b.openInterval > 0 {
		b.open(now, min(2*b.openInterval, seconds(cfg.RetryMaxS)))
	}
}

// checkTimeout counts a failure if the peer has sent nothing for RetryS since the first
// unanswered attempt.
func (b *circuitBreaker) checkTimeout(now time.Duration, cfg *Config) {
	if b.firstUnansweredAt == 0 || now-b.firstUnansweredAt < seconds(cfg.RetryS) {
		return
	}
	b.firstUnansweredAt = 0
	b.failures++
	if b.failures >= cfg.BreakerThreshold && b.openInterval == 0 {
		b.open(now, seconds(cfg.RetryS))
	}
}

// open opens the breaker for the given interval.
func (b *circuitBreaker) open(now, openInterval time.Duration) {
	b.openInterval = openInterval
	b.openUntil = now + openInterval
}

// close closes the breaker and resets its failure count.
func (b *circuitBreaker) close() { *b = circuitBreaker{} }

// state returns the state of the breaker as it appears in the status and in metrics.
func (b *circuitBreaker) state(now time.Duration) string {
	switch {
	case b.openInterval == 0:
		return "closed"
	case b.allows(now):
		return "half-open"
	}
	return "open"
}
