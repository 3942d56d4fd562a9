package core

import (
	"fmt"
	"slices"
	"time"

	"pepperlever/internal/protocol"
)

// freshnessTracker tracks the time up to which this node knows every cancellation that any controller
// has confirmed. Two things prove this knowledge:
//   - The store has replied to a request of this node, and the replica has reached the revision of the
//     reply.
//   - Every other controller has sent a heartbeat that acknowledges a heartbeat of this node and does
//     not list this node among those that have yet to acknowledge a cancellation.
//
// Neither proof compares clocks: each is valid as of the time at which this node sent its own request
// or heartbeat.
type freshnessTracker struct {
	*environment
	peers *peerTable
	// storeFreshUntil is the time at which this node sent the newest store request whose reply serves
	// as a proof.
	storeFreshUntil time.Duration
	// pendingReply describes a reply of the store whose revision the replica has not reached yet:
	// the time at which the request was sent, and that revision. A revision of 0 means none.
	pendingReply struct {
		sentAt   time.Duration
		revision uint64
	}
	// sent is a ring buffer of this node's newest heartbeats. sentCount counts all of them.
	sent      [retainedHeartbeats]sentHeartbeat
	sentCount int
	// cloudOutage is set while the cloud refuses requests because of an outage.
	cloudOutage bool
	// stale is set while workers are turned away.
	stale bool
	// nextStoreCheck and nextCloudCheck are the times at which the store and the cloud are next
	// queried.
	nextStoreCheck, nextCloudCheck time.Duration
}

// sentHeartbeat is a heartbeat of this node and the time when it was sent.
type sentHeartbeat struct {
	id     string
	sentAt time.Duration
}

// retainedHeartbeats is how many sent heartbeats are kept to match against acknowledgements.
const retainedHeartbeats = 16

// nextHeartbeatID returns a unique ID for a heartbeat that is sent now, and records the time.
func (f *freshnessTracker) nextHeartbeatID(incarnation string) string {
	f.sentCount++
	id := fmt.Sprintf("%s.%d", incarnation, f.sentCount)
	f.sent[f.sentCount%retainedHeartbeats] = sentHeartbeat{id, f.now.Steady}
	return id
}

// recordAcknowledgements updates a peer's freshness from the heartbeats of this node that the
// peer acknowledges. A peer that has not loaded the stored state does not count: it cannot know
// what its earlier incarnation has confirmed.
func (f *freshnessTracker) recordAcknowledgements(peer *peerState, received *NodeHeartbeat) {
	self := f.cfg.Node
	if received.Revision == 0 || slices.Contains(received.Unacknowledged, self) {
		return
	}
	for _, acknowledgement := range received.Acknowledgements {
		if acknowledgement.Node != self {
			continue
		}
		for _, heartbeat := range f.sent {
			if heartbeat.id == acknowledgement.HeartbeatID {
				peer.freshUntil = max(peer.freshUntil, heartbeat.sentAt)
			}
		}
	}
}

// storeAnswered records a reply from the store as of a revision. The reply covers everything that
// was stored when the request was sent.
func (f *freshnessTracker) storeAnswered(sentAt time.Duration, revision, replicaRevision uint64) {
	if revision <= replicaRevision {
		f.storeFreshUntil = max(f.storeFreshUntil, sentAt)
	} else if f.pendingReply.revision == 0 {
		f.pendingReply.sentAt, f.pendingReply.revision = sentAt, revision
	}
}

// replicaAdvanced records that the replica has reached a revision.
func (f *freshnessTracker) replicaAdvanced(revision uint64) {
	if f.pendingReply.revision > 0 && f.pendingReply.revision <= revision {
		f.storeFreshUntil = max(f.storeFreshUntil, f.pendingReply.sentAt)
		f.pendingReply.revision = 0
	}
}

// cancellationsKnownUntil returns the time up to which this node knows every confirmed
// cancellation.
func (f *freshnessTracker) cancellationsKnownUntil() time.Duration {
	return max(f.peers.freshUntil(f.now.Steady), f.storeFreshUntil)
}

// setStale sets whether workers are turned away, and reports whether that has changed.
func (f *freshnessTracker) setStale(stale bool) (changed bool) {
	changed = stale != f.stale
	f.stale = stale
	return changed
}

// recordStoreReply passes the revision of a reply from the store, to a request that was sent at sentAt,
// to the freshness tracker. It also counts transactions that were refused as oversized.
func (c *Core) recordStoreReply(sentAt time.Duration, r StoreReply) {
	if r.Oversized {
		c.counters.OversizedTransactions++
	}
	answered := r.Outcome == OutcomeApplied || r.Outcome == OutcomeConflict || r.Outcome == OutcomeMissing
	if r.Revision > 0 && answered {
		c.freshness.storeAnswered(sentAt, r.Revision, c.replica.revision)
	}
}

// checkCancelDeadline logs an error if the settings leave too little time to enforce cancellations.
func (f *freshnessTracker) checkCancelDeadline() {
	if f.times.cancelDeadlineCoversLease() {
		return
	}
	f.log(Error, "cancel_s is shorter than the worker lease and two report intervals",
		"cancel_s", f.cfg.Params.Workers.CancelS,
		"lease_s", f.cfg.Params.Workers.LeaseS,
		"effect", "a partitioned controller turns its workers away immediately")
}

// refresh queries the store and the cloud when this node's knowledge of the confirmed cancellations
// becomes old. It turns workers away while a confirmed cancellation may be unknown here and no other
// controller can enforce it. Other controllers enforce it by returning the machines to the cloud, so
// workers are turned away only while the cloud refuses requests. Staleness alone is not enough: in a
// partitioned zone, turning workers away would end all work there.
func (f *freshnessTracker) refresh(storeOK bool) {
	bound := f.times.stalenessBound()
	freshUntil := f.cancellationsKnownUntil()
	staleness := f.now.Steady - freshUntil
	if staleness > bound/4 && storeOK && f.every(&f.nextStoreCheck, f.reportInterval()) {
		probe := protocol.Txn{If: []protocol.Condition{{Key: keyNode + f.cfg.Node}}}
		f.compareAndSwap(probe, false, func(StoreReply) {})
	}
	if staleness > bound/2 && f.every(&f.nextCloudCheck, f.reportInterval()) {
		f.emit(FetchCatalog{})
	}
	if !f.setStale(f.cloudOutage && staleness > bound) {
		return
	}
	message := "serving workers again: cancellations are known or the cloud accepts requests"
	if f.stale {
		message = "turning workers away: cancellations may be unknown and the cloud refuses requests"
	}
	f.log(Info, message, "fresh_until", freshUntil.Round(time.Second))
}
