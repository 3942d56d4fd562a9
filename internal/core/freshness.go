package core

import (
	"fmt"
	"slices"
	"time"

	"pepperlever/internal/protocol"
)

// freshnessTracker tracks the time up to which this node knows of every cancellation that any
// controller has confirmed. Two things prove it: an answer of the store to a request of
// this node, once the replica has caught up with it; and the heartbeats of all other
// controllers that acknowledge a heartbeat of this node and have no cancellations
// left for it. Neither compares clocks: what counts is when this node sent its own
// request or heartbeat.
type freshnessTracker struct {
	*environment
	peers *peerTable
	// provenAt is when the newest request to the store was sent that is such a proof.
	provenAt time.Duration
	// pending is an answered request whose revision the replica has yet to reach.
	pending struct {
		sentAt   time.Duration
		revision uint64
	}
	// sent holds the newest heartbeats of this node, sentCount how many there were.
	sent      [heartbeatsKept]sentHeartbeat
	sentCount int
	// cloudOutage is set while the cloud refuses to act.
	cloudOutage bool
	// stale is set while workers are turned away.
	stale bool
	// nextStoreCheck and nextCloudCheck are when the store and the cloud are asked next.
	nextStoreCheck, nextCloudCheck time.Duration
}

// sentHeartbeat is a heartbeat of this node and when it was sent.
type sentHeartbeat struct {
	id     string
	sentAt time.Duration
}

// heartbeatsKept is by how many heartbeats an acknowledgement may be late.
const heartbeatsKept = 16

// nextHeartbeatID returns a unique ID for the heartbeat that is sent now.
func (f *freshnessTracker) nextHeartbeatID(incarnation string) string {
	f.sentCount++
	id := fmt.Sprintf("%s.%d", incarnation, f.sentCount)
	f.sent[f.sentCount%heartbeatsKept] = sentHeartbeat{id, f.now.Steady}
	return id
}

// noteAcknowledgements takes what a peer's heartbeat acknowledges of this node's. A peer
// that has not read the stored state yet can't tell what an earlier run of it has confirmed.
func (f *freshnessTracker) noteAcknowledgements(p *peerState, b *NodeHeartbeat) {
	self := f.cfg.Node
	if b.Revision == 0 || slices.Contains(b.Unacknowledged, self) {
		return
	}
	for _, acknowledged := range b.Acknowledgements {
		if acknowledged.Node != self {
			continue
		}
		for _, own := range f.sent {
			if own.id == acknowledged.HeartbeatID {
				p.freshUntil = max(p.freshUntil, own.sentAt)
			}
		}
	}
}

// storeAnswered notes an answer of the store as of a revision. It covers all that was stored
// when the request was sent.
func (f *freshnessTracker) storeAnswered(sentAt time.Duration, revision, replicaRevision uint64) {
	if revision <= replicaRevision {
		f.provenAt = max(f.provenAt, sentAt)
	} else if f.pending.revision == 0 {
		f.pending.sentAt, f.pending.revision = sentAt, revision
	}
}

// replicaAdvanced notes that the replica has reached a revision.
func (f *freshnessTracker) replicaAdvanced(revision uint64) {
	if f.pending.revision > 0 && f.pending.revision <= revision {
		f.provenAt = max(f.provenAt, f.pending.sentAt)
		f.pending.revision = 0
	}
}

// until is the time up to which this node knows of every confirmed cancellation.
func (f *freshnessTracker) until() time.Duration {
	return max(f.peers.freshUntil(f.now.Steady), f.provenAt)
}

// setStale notes whether workers have to be turned away, and tells whether that has changed.
func (f *freshnessTracker) setStale(stale bool) (changed bool) {
	changed = stale != f.stale
	f.stale = stale
	return changed
}

// noteStoreReply takes an answer of the store to a request sent at sentAt.
func (c *Core) noteStoreReply(sentAt time.Duration, r StoreReply) {
	if r.Oversized {
		c.counts.OversizedTransactions++
	}
	answered := r.Outcome == Applied || r.Outcome == Conflict || r.Outcome == Missing
	if r.Revision > 0 && answered {
		c.freshness.storeAnswered(sentAt, r.Revision, c.replica.revision)
	}
}

// checkLease tells the operator of settings that leave too little time.
func (f *freshnessTracker) checkLease() {
	if f.times.coverLease() {
		return
	}
	f.log(Error, "cancel_s is shorter than the worker lease and two report intervals",
		"cancel_s", f.cfg.Params.Workers.CancelS,
		"lease_s", f.cfg.Params.Workers.LeaseS,
		"effect", "a controller that is cut off turns its workers away at once")
}

// check turns workers away while a cancellation may have been confirmed that this
// node does not know of and that nobody else can enforce: other controllers would
// return the machines, so workers are turned away only while the cloud refuses to act. In
// a zone that is cut off they must not be, since that would end the work there.
func (f *freshnessTracker) check(storeOK bool) {
	bound := f.times.stalenessBound()
	freshUntil := f.until()
	gap := f.now.Steady - freshUntil
	if gap > bound/4 && storeOK && f.every(&f.nextStoreCheck, f.reportInterval()) {
		anyAnswer := protocol.Txn{If: []protocol.Condition{{Key: keyNode + f.cfg.Node}}}
		f.compareAndSwap(anyAnswer, false, func(StoreReply) {})
	}
	if gap > bound/2 && f.every(&f.nextCloudCheck, f.reportInterval()) {
		f.emit(FetchCatalog{})
	}
	if !f.setStale(f.cloudOutage && gap > bound) {
		return
	}
	message := "workers answered again: cancellations are known or the cloud acts again"
	if f.stale {
		message = "workers turned away: cancellations may be unknown and the cloud refuses to act"
	}
	f.log(Info, message, "fresh_until", freshUntil.Round(time.Second))
}
