package federation

import (
	"testing"
	"time"
)

// An unresponsive peer must receive few attempts, however many hand-offs are in flight, and
// attempts made at the same time must count as one failure.
func TestBreakerOpensForUnresponsivePeerAndProbesIt(t *testing.T) {
	cfg := Default()
	var breaker circuitBreaker
	attempts, lastRefusal := []time.Duration{}, time.Duration(0)
	for now := time.Second; now < 10*time.Minute; now += 100 * time.Millisecond {
		breaker.checkTimeout(now, &cfg)
		if !breaker.allows(now) {
			lastRefusal = max(lastRefusal, now)
			continue
		}
		for range 100 { // many hand-offs in flight
			if breaker.allows(now) {
				breaker.onAttempt(now, &cfg)
				attempts = append(attempts, now)
			}
		}
	}
	last := attempts[len(attempts)-3:]
	if opened := time.Duration(cfg.BreakerThreshold) * seconds(cfg.RetryS); attempts[99] != time.Second || attempts[1000] > opened+time.Second {
		t.Errorf("breaker opened before the threshold was reached: attempt 1000 at %v", attempts[1000])
	}
	if last[2]-last[1] < seconds(cfg.RetryMaxS) || last[1]-last[0] < seconds(cfg.RetryMaxS) {
		t.Errorf("last probes at %v, want them RetryMaxS apart", last)
	}
	breaker.close()
	if !breaker.allows(lastRefusal) {
		t.Error("breaker is still open after an answer")
	}
}
