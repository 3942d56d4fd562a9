package federation

import (
	"math/rand/v2"
	"time"
)

// breaker keeps a site from wasting tries on a peer that does not answer. It opens
// after some times in a row that a peer has said nothing for RetryS after a try,
// however many tries there were meanwhile. When its pause is over a single try may
// pass, and the next pause, twice as long, begins with it; any answer closes it.
type breaker struct {
	// asked is when the first try was made that nothing has followed.
	asked    time.Duration
	failures int
	pause    time.Duration
	until    time.Duration
}

// allows tells whether a try may be made now.
func (b *breaker) allows(now time.Duration) bool { return b.pause == 0 || now >= b.until }

// tried notes that a try is made.
func (b *breaker) tried(now time.Duration, c *Config) {
	if b.asked == 0 {
		b.asked = now
	}
	if b.pause > 0 {
		b.pause = min(2*b.pause, seconds(c.RetryMaxS))
		b.until = now + b.pause
	}
}

// judge counts a silence.
func (b *breaker) judge(now time.Duration, c *Config) {
	if b.asked == 0 || now-b.asked < seconds(c.RetryS) {
		return
	}
	b.asked = 0
	if b.failures++; b.failures >= c.BreakAfter && b.pause == 0 {
		b.pause = seconds(c.RetryS)
		b.until = now + b.pause
	}
}

// answered closes the breaker.
func (b *breaker) answered() { *b = breaker{} }

// budget bounds repeated tries, so that many hand-offs in flight do not flood a peer
// that has just come back: a few a second, and with each answer some more, so that
// the pace is the peer's own.
type budget struct{ level float64 }

// triesPerAnswer is how many tries an answer allows. More than one lets the pace
// rise until the peer's answers, or its pauses, hold it.
const triesPerAnswer = 2

// budgetMost is how many tries may be saved up.
const budgetMost = 64

// fill adds what time and answers bring.
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
