package core

import (
	"fmt"
	"slices"
	"time"

	"pepperlever/internal/protocol"
)

// proof is what tells this node up to when it is sure to know of every cancellation that
// any controller has confirmed. Two things do: an answer of the state service to a request
// of its own, once the replica has caught up with it; and the answer of every other
// controller, in answer to a beat of this node, that it owes this node nothing. Neither
// compares clocks: what counts is when this node sent its own request or beat.
type freshness struct {
	// provenAt is when the newest request was sent that proves it, pending one whose answer
	// the replica has yet to reach.
	provenAt time.Duration
	pending  struct {
		at       time.Duration
		revision uint64
	}
	// sent are the newest beats of this node, n how many there were.
	sent [heartbeatsKept]sentHeartbeat
	n    int
	// cloudOutage is set while the cloud refuses to act.
	cloudOutage bool
	stale       bool
	// probed and asked are when the state service, and the cloud, are asked next.
	probed, asked time.Duration
}

// sentHeartbeat is a beat and when it was sent.
type sentHeartbeat struct {
	stamp string
	at    time.Duration
}

// heartbeatsKept is how many beats an answer may be late.
const heartbeatsKept = 16

// noteStoreReply takes an answer of the state service: it holds all that was stored when the
// request was sent.
func (c *Core) noteStoreReply(at time.Duration, r StoreReply) {
	if r.Oversized {
		c.counts.OversizedTransactions++
	}
	if r.Revision == 0 || r.Outcome != Applied && r.Outcome != Conflict && r.Outcome != Missing {
		return
	}
	if r.Revision <= c.revision {
		c.freshness.provenAt = max(c.freshness.provenAt, at)
	} else if c.freshness.pending.revision == 0 {
		c.freshness.pending.at, c.freshness.pending.revision = at, r.Revision
	}
}

// replicaAdvanced notes that the replica has got further.
func (c *Core) replicaAdvanced() {
	if p := &c.freshness.pending; p.revision > 0 && p.revision <= c.revision {
		c.freshness.provenAt = max(c.freshness.provenAt, p.at)
		p.revision = 0
	}
}

// nextHeartbeatID numbers a beat of this run.
func (c *Core) nextHeartbeatID() string {
	p := &c.freshness
	p.n++
	s := fmt.Sprintf("%s.%d", c.members.incarnation, p.n)
	p.sent[p.n%heartbeatsKept] = sentHeartbeat{s, c.now.Steady}
	return s
}

// acknowledgements answers the beats of the others, and owed names those of them that this node
// has cancellations for.
func (c *Core) acknowledgements() (out []Acknowledgement, owed []string) {
	for _, node := range c.members.roster {
		if p := c.peers[node]; p != nil && p.lastHeartbeatID != "" {
			out = append(out, Acknowledgement{node, p.lastHeartbeatID})
		}
		if c.hasUnacknowledged(node) {
			owed = append(owed, node)
		}
	}
	return out, owed
}

// hasUnacknowledged tells whether a controller is not known to know of some cancellation.
func (c *Core) hasUnacknowledged(node string) bool {
	for _, w := range c.announcements {
		if !c.hasAcknowledged(node, w) {
			return true
		}
	}
	return false
}

// noteAcknowledgements takes the answer of another controller to a beat of this node. One that has not
// read the stored state yet can't tell what an earlier run of it has confirmed.
func (c *Core) noteAcknowledgements(p *peerState, b *NodeHeartbeat) {
	if b.Revision == 0 || slices.Contains(b.Unacknowledged, c.cfg.Node) {
		return
	}
	for _, e := range b.Acknowledgements {
		if e.Node != c.cfg.Node {
			continue
		}
		for _, s := range c.freshness.sent {
			if s.stamp == e.HeartbeatID {
				p.freshUntil = max(p.freshUntil, s.at)
			}
		}
	}
}

// freshUntil is up to when this node is sure to know of every confirmed cancellation.
func (c *Core) freshUntil() time.Duration {
	t := c.now.Steady
	for _, p := range c.peers {
		t = min(t, p.freshUntil)
	}
	return max(t, c.freshness.provenAt)
}

// stalenessBound is for how long a controller may be unsure before its workers have to be left
// to their leases, so that what it has not heard of is gone in time: the lease, with the
// drift of clocks, and a report interval are left.
func (c *Core) stalenessBound() time.Duration {
	return max(c.reportInterval(), c.cancelDeadline()-time.Duration(leaseDrift*float64(c.leaseTime()))-c.reportInterval())
}

// leaseDrift is how much longer than its lease a worker may go on, by another clock.
const leaseDrift = 1.001

func (c *Core) leaseTime() time.Duration { return seconds(c.cfg.Params.Workers.LeaseS) }

// checkLease tells the operator of settings that leave too little time.
func (c *Core) checkLease() {
	if c.stalenessBound() <= c.reportInterval() {
		c.log(Error, "a cancellation may take no longer than a worker's lease and two reports: a controller that is cut off turns its workers away at once",
			"cancel_s", c.cfg.Params.Workers.CancelS, "lease_s", c.cfg.Params.Workers.LeaseS)
	}
}

// checkFreshness turns workers away while a cancellation may have been confirmed that this
// node does not know of and that nobody else can see to: others would have the machines
// given back, so it does this only while the cloud refuses to act. It must not in a cut
// zone, whose work it would end, though others can have machines there given back.
func (c *Core) checkFreshness() {
	p, gap := &c.freshness, c.now.Steady-c.freshUntil()
	if gap > c.stalenessBound()/4 && c.storeOK && c.every(&p.probed, c.reportInterval()) {
		c.compareAndSwap(protocol.Txn{If: []protocol.Condition{{Key: keyNode + c.cfg.Node}}}, false, func(StoreReply) {})
	}
	if gap > c.stalenessBound()/2 && c.every(&p.asked, c.reportInterval()) {
		c.emit(FetchCatalog{})
	}
	if now := p.cloudOutage && gap > c.stalenessBound(); now != p.stale {
		p.stale = now
		c.log(Info, "workers are turned away, or answered again: a cancellation may be unknown here, and the cloud refuses to act",
			"turned away", now, "sure until", c.freshUntil().Round(time.Second))
	}
}
