package federation

import (
	"math/rand/v2"
	"time"
)

// rebuildRetryQueues queues everything that is unacknowledged. Entries that were queued before
// keep their due time.
func (c *Coordinator) rebuildRetryQueues() {
	for _, peer := range c.peers {
		peer.retries.retain(func(key retryKey) bool { return c.isUnacknowledged(peer.site, key) })
	}
	for to, epochs := range c.index.openEpochs {
		for _, epoch := range epochs {
			c.peer(to).retries.scheduleIfMissing(retryKey{epoch, true})
		}
	}
	for origin, epochs := range c.index.incoming {
		for _, epoch := range epochs {
			if key := (retryKey{epoch, false}); c.isUnacknowledged(origin, key) {
				c.peer(origin).retries.scheduleIfMissing(key)
			}
		}
	}
}

// isUnacknowledged reports whether the message about an epoch must still be sent to a peer.
func (c *Coordinator) isUnacknowledged(peer Site, key retryKey) bool {
	if key.outgoing {
		return c.index.outgoing[outgoingID{peer, key.epoch}] != ""
	}
	return c.records.Incoming[IncomingID{peer, key.epoch}].FinalState != ""
}

// sendDue sends a peer all messages that are due, within the limits of acquireSend.
func (c *Coordinator) sendDue(peer *peerState) {
	for due := peer.retries.nextDue(c.now); due != nil; due = peer.retries.nextDue(c.now) {
		if !c.acquireSend(peer, due.attempts > 0) {
			return
		}
		peer.breaker.onAttempt(c.now, c.cfg)
		nextDue := c.now + jitter(c.rng, c.retryDelay(due.attempts))
		peer.retries.schedule(due.retryKey, nextDue, due.attempts+1)
		if due.outgoing {
			c.sendOutgoing(c.index.outgoing[outgoingID{peer.site, due.epoch}])
		} else {
			c.sendDecision(IncomingID{peer.site, due.epoch})
		}
	}
}

// acquireSend reports whether a message may be sent to a peer now. For a retry it takes a token
// from the peer's retry budget and counts the retry.
func (c *Coordinator) acquireSend(peer *peerState, repeated bool) bool {
	if !peer.breaker.allows(c.now) {
		return false
	}
	if !repeated {
		return true
	}
	if !peer.budget.takeToken() {
		return false
	}
	peer.retryCount++
	return true
}

// scheduleNow makes the message about an epoch due immediately.
func (c *Coordinator) scheduleNow(peer Site, key retryKey) { c.peer(peer).retries.schedule(key, 0, 0) }

// retryDelay returns the delay before the next attempt. It doubles with each attempt, up to
// RetryMaxS.
func (c *Coordinator) retryDelay(attempts int) time.Duration {
	return min(seconds(c.cfg.RetryS)<<min(attempts, maxDoublings), seconds(c.cfg.RetryMaxS))
}

// maxDoublings limits the exponent in retryDelay to prevent an overflow.
const maxDoublings = 16

// retryBudget is a token bucket for retries. It prevents the retries of many open hand-offs from
// overloading a peer that has just become reachable again. Tokens are added at a fixed rate and
// with each message from the peer, so that the retry rate adapts to the peer's pace.
type retryBudget struct {
	tokens     float64
	refilledAt time.Duration
}

// retriesPerAnswer is the number of tokens added for each message from a peer. It is greater
// than one so that the retry rate can rise until the peer's answers or backoffs limit it.
const retriesPerAnswer = 2

// maxRetryBudget is the capacity of the bucket.
const maxRetryBudget = 64

// refill adds the tokens that have accumulated at the given rate since the last call.
func (b *retryBudget) refill(now time.Duration, rate float64) {
	b.add((now - b.refilledAt).Seconds() * rate)
	b.refilledAt = now
}

// add adds tokens, up to the capacity.
func (b *retryBudget) add(amount float64) { b.tokens = min(maxRetryBudget, b.tokens+amount) }

// takeToken removes one token, and reports whether there was one.
func (b *retryBudget) takeToken() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// jitter returns a random delay between half and one and a half times the given one.
func jitter(rng *rand.Rand, delay time.Duration) time.Duration {
	return delay/2 + time.Duration(rng.Int64N(int64(max(delay, 1))))
}

// seconds converts a number of seconds from the configuration to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
