package core

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// grantLease grants a controller a new lease, as soon as it can reach the store.
func (cluster *simCluster) grantLease(node string) {
	if cluster.awaitingLease[node] = cluster.outage || cluster.withoutStore[node]; cluster.awaitingLease[node] {
		return
	}
	cluster.nextReq++
	cluster.leases[cluster.nextReq] = node
	cluster.send(node, LeaseGranted{Lease: cluster.nextReq})
}

// cutStore cuts a controller off from the store and expires its lease.
func (cluster *simCluster) cutStore(node string) {
	cluster.withoutStore[node] = true
	cluster.expire(node)
}

// restoreStore reconnects a controller to the store and grants it a new lease.
func (cluster *simCluster) restoreStore(node string) {
	delete(cluster.withoutStore, node)
	cluster.send(node, LeaseExpired{})
	cluster.grantLease(node)
}

// expire expires all leases of a controller.
func (cluster *simCluster) expire(node string) { cluster.endLeases(cluster.leasesOf(node)) }

// leasesOf lists the active leases of a controller, including those of previous incarnations.
func (cluster *simCluster) leasesOf(node string) (out []uint64) {
	for _, lease := range slices.Sorted(maps.Keys(cluster.leases)) {
		if cluster.leases[lease] == node {
			out = append(out, lease)
		}
	}
	return out
}

// endLeases ends leases and deletes the keys attached to them.
func (cluster *simCluster) endLeases(leases []uint64) {
	for _, lease := range leases {
		delete(cluster.leases, lease)
		for _, key := range slices.Sorted(maps.Keys(cluster.kv)) {
			if cluster.kv[key].Lease == lease {
				cluster.change(protocol.Change{Delete: key})
			}
		}
	}
}

// expireOldLeases ends all leases of a controller except its newest.
func (cluster *simCluster) expireOldLeases(node string) {
	if all := cluster.leasesOf(node); len(all) > 1 {
		cluster.endLeases(all[:len(all)-1])
	}
}

// sendSnapshotWhenReachable sends a controller a snapshot of the store, as soon as it can reach the
// store.
func (cluster *simCluster) sendSnapshotWhenReachable(node string) {
	if cluster.awaitingSnapshot[node] = cluster.outage || cluster.withoutStore[node]; cluster.awaitingSnapshot[node] {
		return
	}
	if list := cluster.lists[node]; list != nil {
		list.repeat = true
		return
	}
	cluster.beginList(node)
}

// updateStoreHealth notifies a controller when it has lost the store for a report interval, and
// when it reaches it again.
func (cluster *simCluster) updateStoreHealth(node string) {
	switch since, unavailable := cluster.storeUnavailableSince[node]; {
	case !cluster.outage && !cluster.withoutStore[node]:
		delete(cluster.storeUnavailableSince, node)
		if cluster.awaitingSnapshot[node] {
			cluster.sendSnapshotWhenReachable(node)
		}
		if cluster.awaitingLease[node] {
			cluster.grantLease(node)
		}
		if cluster.storeLossReported[node] {
			delete(cluster.storeLossReported, node)
			cluster.send(node, StoreHealth{OK: true})
		}
	case !unavailable:
		cluster.storeUnavailableSince[node] = cluster.now
	case !cluster.storeLossReported[node] && cluster.now-since > seconds(cluster.cfg[node].Params.Workers.ReportS):
		cluster.storeLossReported[node] = true
		cluster.send(node, StoreHealth{})
	}
}

// isStored reports whether a key exists.
func (cluster *simCluster) isStored(key string) bool {
	_, stored := cluster.kv[key]
	return stored
}

// storedLeader returns the controller that the store shows as the leader of a team, or "".
func (cluster *simCluster) storedLeader(team string) string {
	var leader leaderRecord
	if kv, stored := cluster.kv[keyLeader+team]; stored {
		if err := json.Unmarshal(kv.Value, &leader); err != nil {
			cluster.t.Fatal(err)
		}
	}
	return leader.Node
}

// change applies one change as a revision of its own.
func (cluster *simCluster) change(ch protocol.Change) {
	cluster.revision++
	cluster.applyChange(ch)
}

// applyChange applies a change at the current revision and records its event.
func (cluster *simCluster) applyChange(ch protocol.Change) {
	if ch.Delete != "" {
		if _, ok := cluster.kv[ch.Delete]; ok {
			delete(cluster.kv, ch.Delete)
			cluster.recordEvent(protocol.Event{Delete: ch.Delete, Version: cluster.revision})
		}
		return
	}
	if id, final := strings.CutPrefix(ch.Put, keyState); final {
		cluster.endedAt[id] = cluster.now
	}
	cluster.kv[ch.Put] = protocol.KeyValue{Key: ch.Put, Value: slices.Clone(ch.Value), Version: cluster.revision, Lease: ch.Lease}
	cluster.recordEvent(protocol.Event{Put: ch.Put, Value: slices.Clone(ch.Value), Version: cluster.revision})
}

// recordEvent appends an event for the controllers' watches.
func (cluster *simCluster) recordEvent(e protocol.Event) {
	if strings.HasPrefix(e.Put+e.Delete, Root) {
		cluster.events = append(cluster.events, e)
	}
}

// executeTxn executes a controller's transaction and sends the reply, unless a fault refuses or
// delays the transaction or loses the reply.
func (cluster *simCluster) executeTxn(node string, e StoreTxn) {
	if cluster.outage || cluster.withoutStore[node] {
		cluster.send(node, StoreReply{ID: e.ID, Outcome: OutcomeRefused})
		return
	}
	if cluster.notUpgraded[node] && slices.ContainsFunc(e.Txn.Then, func(ch protocol.Change) bool { return strings.HasPrefix(ch.Put, keyVersion) }) {
		cluster.send(node, StoreReply{ID: e.ID, Outcome: OutcomeRefused})
		return
	}
	if !cluster.fitsStoreLimits(e.Txn) {
		cluster.t.Errorf("%v: transaction of %d changes and %d conditions, the first change on %s, exceeds the limits of the store", cluster.now, len(e.Txn.Then), len(e.Txn.If), e.Txn.Then[0].Put+e.Txn.Then[0].Delete)
	}
	cluster.requests++
	if cluster.lateWrite != nil && len(e.Txn.Then) > 0 {
		if d := cluster.lateWrite(node, e); d > 0 {
			cluster.executeTxnLate(node, e, d)
			return
		}
	}
	r := cluster.commitTxn(e.Txn)
	r.ID = e.ID
	if cluster.lostReplies > 0 {
		cluster.lostReplies--
		r = StoreReply{ID: e.ID, Outcome: OutcomeUnknown}
	}
	cluster.send(node, r)
}

// commitTxn commits a transaction if its conditions hold and its leases are active.
func (cluster *simCluster) commitTxn(txn protocol.Txn) (r StoreReply) {
	for _, ch := range txn.Then {
		if ch.Lease != 0 && cluster.leases[ch.Lease] == "" {
			return StoreReply{Outcome: OutcomeNoLease}
		}
	}
	for _, cond := range txn.If {
		if cluster.kv[cond.Key].Version != cond.Version {
			r.Failed = append(r.Failed, cond.Key)
		}
	}
	if cluster.nameOneFailedKey && len(r.Failed) > 1 {
		r.Failed = r.Failed[:1]
	}
	if len(r.Failed) > 0 {
		r.Outcome, r.Revision = OutcomeConflict, cluster.revision
	} else {
		cluster.checkFenced(txn)
		if len(txn.Then) > 0 {
			cluster.revision++
		}
		for _, ch := range txn.Then {
			cluster.applyChange(ch)
		}
		r.Revision = cluster.revision
	}
	return r
}

// executeGet sends a controller the value of a key.
func (cluster *simCluster) executeGet(node string, e StoreGet) {
	cluster.requests++
	r := StoreReply{ID: e.ID, Outcome: OutcomeMissing, Revision: cluster.revision}
	if kv, ok := cluster.kv[e.Key]; ok {
		r.Outcome, r.Item = OutcomeApplied, kv
	}
	if cluster.outage || cluster.withoutStore[node] {
		r = StoreReply{ID: e.ID, Outcome: OutcomeRefused}
	}
	cluster.send(node, r)
}

// storeLimits returns the limits that the store enforces now.
func (cluster *simCluster) storeLimits() settings.StateLimits {
	state := cluster.cfg[cluster.names[0]].Params.State
	if cluster.limitsLowered {
		return state.LowestLimits()
	}
	return state.StateLimits
}

// fitsStoreLimits reports whether a transaction is within the limits of the store.
func (cluster *simCluster) fitsStoreLimits(txn protocol.Txn) bool {
	p := cluster.storeLimits()
	return len(txn.Then) <= p.TxnOps && len(txn.If) <= 4*p.TxnOps && !slices.ContainsFunc(txn.Then, func(ch protocol.Change) bool {
		return float64(len(ch.Value)) > p.ValueKB*1024
	})
}

// executeTxnLate executes a transaction after delay. Its sender is notified after at most a second
// that the outcome is unknown.
func (cluster *simCluster) executeTxnLate(node string, e StoreTxn, delay time.Duration) {
	sentAt, sender := cluster.now, cluster.cores[node]
	cluster.scheduledActions = append(cluster.scheduledActions, func() bool {
		if cluster.now < sentAt+delay || cluster.outage {
			return false
		}
		if cluster.fitsStoreLimits(e.Txn) { // the limits may have been lowered since
			cluster.commitTxn(e.Txn)
		}
		return true
	})
	cluster.scheduledActions = append(cluster.scheduledActions, func() bool {
		if cluster.now < sentAt+min(delay, time.Second) {
			return false
		}
		if cluster.cores[node] == sender {
			cluster.send(node, StoreReply{ID: e.ID, Outcome: OutcomeUnknown})
		}
		return true
	})
}

// checkFenced checks that a transaction would have no effect if it were executed after newer ones
// of the same controller: it must have a condition on a key that it changes, so that any newer
// change of that key makes it fail.
func (cluster *simCluster) checkFenced(txn protocol.Txn) {
	for _, ch := range txn.Then {
		key := ch.Put + ch.Delete
		switch {
		case slices.ContainsFunc(txn.If, func(c protocol.Condition) bool { return c.Key == key }):
			return
		case strings.HasPrefix(key, keyCordon), strings.HasPrefix(key, keyRentalIntent), strings.HasPrefix(key, keyUsageRecord):
			// A terminated machine never returns, a rental's name is never reused, and usage
			// records are hints: an outdated one changes the fairness ranking only slightly.
			return
		}
	}
	if len(txn.Then) > 0 {
		cluster.t.Errorf("%v: a late write of %s could overwrite a newer one: no condition on a changed key", cluster.now, txn.Then[0].Put+txn.Then[0].Delete)
	}
}

// checkTokenOwner checks that no two incarnations acquire the same fencing token.
func (cluster *simCluster) checkTokenOwner(node string, token uint64) {
	owner := cluster.cores[node].members.incarnation
	if otherOwner, owned := cluster.tokenOwners[token]; owned && otherOwner != owner {
		cluster.t.Errorf("%v: %s and %s both acquired fencing token %d", cluster.now, otherOwner, owner, token)
	}
	cluster.tokenOwners[token] = owner
}
