package federation

import (
	"math/rand/v2"
	"time"
)

// rebuildRetryQueues queues all that has no answer, and keeps the times of what was queued
// before.
func (c *Coordinator) rebuildRetryQueues() {
	for _, peer := range c.peers {
		peer.retries.retain(func(key retryKey) bool { return c.isOpen(peer.site, key) })
	}
	for to, epochs := range c.index.openEpochs {
		for _, epoch := range epochs {
			c.peer(to).retries.scheduleIfMissing(retryKey{epoch, true})
		}
	}
	for origin, epochs := range c.index.incoming {
		for _, epoch := range epochs {
			if key := (retryKey{epoch, false}); c.isOpen(origin, key) {
				c.peer(origin).retries.scheduleIfMissing(key)
			}
		}
	}
}

// isOpen tells whether a peer is still to be told of an epoch.
func (c *Coordinator) isOpen(peer Site, key retryKey) bool {
	if key.outgoing {
		return c.index.outgoing[outgoingID{peer, key.epoch}] != ""
	}
	return c.records.Incoming[IncomingID{peer, key.epoch}].FinalState != ""
}

// sendDue tells a peer what is due.
func (c *Coordinator) sendDue(peer *peerState) {
	for due := peer.retries.next(c.now); due != nil; due = peer.retries.next(c.now) {
		if !c.mayTry(peer, due.attempts > 0) {
			return
		}
		peer.breaker.onTry(c.now, c.cfg)
		next := c.now + jitter(c.rng, c.retryDelay(due.attempts))
		peer.retries.schedule(due.retryKey, next, due.attempts+1)
		if due.outgoing {
			c.sendOutgoing(c.index.outgoing[outgoingID{peer.site, due.epoch}])
		} else {
			c.sendDecision(IncomingID{peer.site, due.epoch})
		}
	}
}

// mayTry tells whether something may be sent to a peer now. A repeated try is charged to the
// peer's retry budget.
func (c *Coordinator) mayTry(peer *peerState, repeated bool) bool {
	if !peer.breaker.allows(c.now) {
		return false
	}
	if !repeated {
		return true
	}
	if !peer.budget.take() {
		return false
	}
	peer.retryCount++
	return true
}

// scheduleNow has a peer told of an epoch at the next chance.
func (c *Coordinator) scheduleNow(peer Site, key retryKey) { c.peer(peer).retries.schedule(key, 0, 0) }

// retryDelay is how long to wait after a try: twice as long each time, up to RetryMaxS.
func (c *Coordinator) retryDelay(attempts int) time.Duration {
	return min(seconds(c.cfg.RetryS)<<min(attempts, maxDoublings), seconds(c.cfg.RetryMaxS))
}

// maxDoublings keeps retryDelay from overflowing.
const maxDoublings = 16

// retryBudget bounds repeated tries, so that many hand-offs in flight do not flood a peer
// that has just come back: a few a second, and with each answer some more, so that
// the pace is the peer's own.
type retryBudget struct {
	tokens     float64
	refilledAt time.Duration
}

// retriesPerAnswer is how many tries an answer allows. More than one lets the pace
// rise until the peer's answers, or its pauses, hold it.
const retriesPerAnswer = 2

// maxRetryBudget is how many tries may be saved up.
const maxRetryBudget = 64

// refill adds what the rate allows since the last call.
func (b *retryBudget) refill(now time.Duration, rate float64) {
	b.add((now - b.refilledAt).Seconds() * rate)
	b.refilledAt = now
}

// add adds tries.
func (b *retryBudget) add(tries float64) { b.tokens = min(maxRetryBudget, b.tokens+tries) }

// take takes one try, or reports that there is none.
func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// jitter spreads a pause over half to one and a half times its length.
func jitter(rng *rand.Rand, pause time.Duration) time.Duration {
	return pause/2 + time.Duration(rng.Int64N(int64(max(pause, 1))))
}

// seconds turns a figure of the configuration into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
