package gateway

import (
	"math/rand/v2"
	"time"
)

// breaker keeps a site from wasting tries on a peer that does not answer. It opens
// after some failures in a row. When its pause is over a single try may pass, and
// the next pause, twice as long, begins with it; any answer closes it.
type breaker struct {
	failures int
	pause    time.Duration
	until    time.Duration
}

// allows tells whether a try may be made now.
func (b *breaker) allows(now time.Duration) bool { return b.pause == 0 || now >= b.until }

// tried notes that a try is made; again that one before it had no answer.
func (b *breaker) tried(now time.Duration, again bool, c *Config) {
	if again {
		b.failures++
	}
	if b.pause > 0 || b.failures >= c.BreakAfter {
		b.pause = min(max(2*b.pause, seconds(c.RetryS)), seconds(c.RetryMaxS))
		b.until = now + b.pause
	}
}

// answered closes the breaker.
func (b *breaker) answered() { *b = breaker{} }

// budget bounds repeated tries to a part of the first ones, so that many hand-offs
// in flight do not flood a peer that has just come back.
type budget struct{ level float64 }

// budgetMost is how many tries may be saved up.
const budgetMost = 32

// fill adds what time and first tries bring.
func (b *budget) fill(tries float64) { b.level = min(budgetMost, b.level+tries) }

// take takes one try out, or tells that there is none.
func (b *budget) take() bool {
	if b.level < 1 {
		return false
	}
	b.level--
	return true
}

// jitter spreads a pause over half to one and a half times its length.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(rng.Int64N(int64(max(d, 1))))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
