package federation

import (
	"testing"
	"time"
)

// A peer that does not answer costs few tries, however many hand-offs are in flight, and tries
// made at once count as one failure.
func TestBreakerOpensForASilentPeerAndProbesIt(t *testing.T) {
	c := Default()
	var b circuitBreaker
	tries, open := []time.Duration{}, time.Duration(0)
	for now := time.Second; now < 10*time.Minute; now += 100 * time.Millisecond {
		b.checkTimeout(now, &c)
		if !b.allows(now) {
			open = max(open, now)
			continue
		}
		for range 100 { // as long as it is closed, all go
			if b.allows(now) {
				b.onTry(now, &c)
				tries = append(tries, now)
			}
		}
	}
	late := tries[len(tries)-3:]
	if opened := time.Duration(c.BreakerThreshold) * seconds(c.RetryS); tries[99] != time.Second || tries[1000] > opened+time.Second {
		t.Errorf("opens at once: try 1000 at %v", tries[1000])
	}
	if late[2]-late[1] < seconds(c.RetryMaxS) || late[1]-late[0] < seconds(c.RetryMaxS) {
		t.Errorf("probes at %v", late)
	}
	b.close()
	if !b.allows(open) {
		t.Error("an answer does not close it")
	}
}
