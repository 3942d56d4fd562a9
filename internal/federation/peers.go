package federation

import "time"

// peerState is what the coordinator knows about a peer. It is kept in memory only.
type peerState struct {
	site    Site
	breaker circuitBreaker
	budget  retryBudget
	retries retryQueue
	// retryCount is the number of retries sent to the peer.
	retryCount int
	// backoff is the length of the period in which the peer gets no offers, because it has asked
	// for a backoff. backoffUntil is the end of that period.
	backoff, backoffUntil time.Duration
	// longestWaitS is the LongestWaitS of the peer's last message, which was received at
	// loadReceivedAt.
	longestWaitS   float64
	loadReceivedAt time.Duration
	// loadDueAt is when to report the load of this site to the peer.
	loadDueAt time.Duration
	// lowWaterMark is the epoch up to which the peer has closed its hand-offs to this site.
	// deleteAt is when to store that epoch and to delete the decisions up to it.
	lowWaterMark Epoch
	deleteAt     time.Duration
	comparison
}

// peer returns the state of a peer, which it creates on first use.
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

// onMessage updates the state of a peer from any message that it sends. If a peer asks for a
// backoff again before it has accepted a job, the backoff at least doubles, up to RetryMaxS.
// Without this, a job that is offered repeatedly to busy sites would never stay here long enough
// to start.
func (p *peerState) onMessage(msg Message, now time.Duration, cfg *Config) {
	p.breaker.close()
	p.budget.add(retriesPerAnswer)
	p.longestWaitS, p.loadReceivedAt = msg.LongestWaitS, now
	if msg.Backoff > 0 {
		p.backoff = min(max(msg.Backoff, 2*p.backoff), seconds(cfg.RetryMaxS))
		p.backoffUntil = now + p.backoff
	}
}

// handlePeerReachable retries everything that the peer has not answered, as far as its retry
// budget allows. Without this, the first message after a long outage would be delayed by up to
// RetryMaxS.
func (c *Coordinator) handlePeerReachable(site Site) {
	peer := c.peer(site)
	peer.breaker.close()
	peer.viewRequestDueAt = 0
	peer.retries.expedite(c.now)
}

// sendLoad periodically reports the load of this site to a peer.
func (c *Coordinator) sendLoad(peer *peerState) {
	if c.now >= peer.loadDueAt && peer.breaker.allows(c.now) {
		peer.loadDueAt = c.now + seconds(c.cfg.LoadMaxAgeS)/2
		c.send(Message{To: peer.site, Kind: KindLoad})
	}
}
