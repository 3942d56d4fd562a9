package federation

import "time"

// peerState is what is known of another site.
type peerState struct {
	site    Site
	breaker circuitBreaker
	budget  retryBudget
	retries retryQueue
	// retryCount is how many repeated tries were made.
	retryCount int
	// backoffUntil is until when the peer has asked for no offers, backoff the length of that.
	backoff, backoffUntil time.Duration
	// longestWaitS is for how many seconds work waits there, as told at loadReceivedAt.
	longestWaitS   float64
	loadReceivedAt time.Duration
	// loadDueAt is when the peer is told the same of this site.
	loadDueAt time.Duration
	// lowWaterMark is up to where the peer has closed its epochs, to be stored at forgetAt.
	lowWaterMark Epoch
	forgetAt     time.Duration
	comparison
}

// peer is the state of a peer.
func (c *Coordinator) peer(site Site) *peerState {
	if c.peers[site] == nil {
		c.peers[site] = &peerState{
			site:       site,
			budget:     retryBudget{refilledAt: c.now},
			comparison: comparison{lostEpochs: map[Epoch]bool{}},
		}
	}
	return c.peers[site]
}

// onMessage notes what any message of a peer tells about it. A peer that asks for a pause again
// gets one that is at least twice as long: a job that is offered over and over again to full
// sites would never be here for long enough to start.
func (p *peerState) onMessage(msg Message, now time.Duration, cfg *Config) {
	p.breaker.close()
	p.budget.add(retriesPerAnswer)
	p.longestWaitS, p.loadReceivedAt = msg.LongestWaitS, now
	if msg.Backoff > 0 {
		p.backoff = min(max(msg.Backoff, 2*p.backoff), seconds(cfg.RetryMaxS))
		p.backoffUntil = now + p.backoff
	}
}

// handlePeerReachable has a peer told of all that is open there at once, as far as its retry
// budget goes. Otherwise the first message after a long cut would wait for the longest pause.
func (c *Coordinator) handlePeerReachable(site Site) {
	peer := c.peer(site)
	peer.breaker.close()
	peer.viewRequestDueAt = 0
	peer.retries.expedite(c.now)
}

// sendLoad tells a peer now and then for how long work waits here.
func (c *Coordinator) sendLoad(peer *peerState) {
	if c.now >= peer.loadDueAt && peer.breaker.allows(c.now) {
		peer.loadDueAt = c.now + seconds(c.cfg.LoadMaxAgeS)/2
		c.send(Message{To: peer.site, Kind: KindLoad})
	}
}
