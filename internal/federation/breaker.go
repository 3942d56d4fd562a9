package federation

import (
	"math/rand/v2"
	"time"
)

// circuitBreaker keeps a site from wasting tries on a peer that does not answer. It opens
// after some times in a row that a peer has said nothing for RetryS after a try,
// however many tries there were meanwhile. When its pause is over a single try may
// pass, and the next pause, twice as long, begins with it; any answer closes it.
type circuitBreaker struct {
	// firstTryAt is when the first try was made that nothing has followed.
	firstTryAt time.Duration
	failures   int
	pause      time.Duration
	openUntil  time.Duration
}

// allows tells whether a try may be made now.
func (b *circuitBreaker) allows(now time.Duration) bool { return b.pause == 0 || now >= b.openUntil }

// onTry notes that a try is made.
func (b *circuitBreaker) onTry(now time.Duration, c *Config) {
	if b.firstTryAt == 0 {
		b.firstTryAt = now
	}
	if b.pause > 0 {
		b.pause = min(2*b.pause, seconds(c.RetryMaxS))
		b.openUntil = now + b.pause
	}
}

// checkTimeout counts a silence.
func (b *circuitBreaker) checkTimeout(now time.Duration, c *Config) {
	if b.firstTryAt == 0 || now-b.firstTryAt < seconds(c.RetryS) {
		return
	}
	b.firstTryAt = 0
	if b.failures++; b.failures >= c.BreakerThreshold && b.pause == 0 {
		b.pause = seconds(c.RetryS)
		b.openUntil = now + b.pause
	}
}

// close closes the breaker.
func (b *circuitBreaker) close() { *b = circuitBreaker{} }

// retryBudget bounds repeated tries, so that many hand-offs in flight do not flood a peer
// that has just come back: a few a second, and with each answer some more, so that
// the pace is the peer's own.
type retryBudget struct{ tokens float64 }

// retriesPerAnswer is how many tries an answer allows. More than one lets the pace
// rise until the peer's answers, or its pauses, hold it.
const retriesPerAnswer = 2

// maxRetryBudget is how many tries may be saved up.
const maxRetryBudget = 64

// add adds what time and answers bring.
func (b *retryBudget) add(tries float64) { b.tokens = min(maxRetryBudget, b.tokens+tries) }

// take takes one try out, or tells that there is none.
func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// jitter spreads a pause over half to one and a half times its length.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return d/2 + time.Duration(rng.Int64N(int64(max(d, 1))))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
