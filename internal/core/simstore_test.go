package core

import (
	"maps"
	"slices"
	"strings"
	"time"

	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// grantLease grants a controller a new lease, as soon as it can reach the store.
func (w *world) grantLease(node string) {
	if w.awaitingLease[node] = w.outage || w.withoutStore[node]; w.awaitingLease[node] {
		return
	}
	w.nextReq++
	w.leases[w.nextReq] = node
	w.send(node, LeaseGranted{Lease: w.nextReq})
}

// cutStore cuts a controller off from the store and expires its lease.
func (w *world) cutStore(node string) {
	w.withoutStore[node] = true
	w.expire(node)
}

// restoreStore reconnects a controller to the store and grants it a new lease.
func (w *world) restoreStore(node string) {
	delete(w.withoutStore, node)
	w.send(node, LeaseExpired{})
	w.grantLease(node)
}

// expire expires all leases of a controller.
func (w *world) expire(node string) { w.endLeases(w.leasesOf(node)) }

// leasesOf lists the active leases of a controller, including those of previous incarnations.
func (w *world) leasesOf(node string) (out []uint64) {
	for _, lease := range slices.Sorted(maps.Keys(w.leases)) {
		if w.leases[lease] == node {
			out = append(out, lease)
		}
	}
	return out
}

// endLeases ends leases and deletes the keys attached to them.
func (w *world) endLeases(leases []uint64) {
	for _, lease := range leases {
		delete(w.leases, lease)
		for _, key := range slices.Sorted(maps.Keys(w.kv)) {
			if w.kv[key].Lease == lease {
				w.change(protocol.Change{Delete: key})
			}
		}
	}
}

// expireOldLeases ends all leases of a controller except its newest.
func (w *world) expireOldLeases(node string) {
	if all := w.leasesOf(node); len(all) > 1 {
		w.endLeases(all[:len(all)-1])
	}
}

// read sends a controller a snapshot of the store, as soon as it can reach the store.
func (w *world) read(node string) {
	if w.awaitingSnapshot[node] = w.outage || w.withoutStore[node]; !w.awaitingSnapshot[node] {
		w.load(node)
	}
}

// load sends a controller a snapshot of all stored keys.
func (w *world) load(node string) {
	snapshot := SnapshotLoaded{Revision: w.revision}
	for _, key := range slices.Sorted(maps.Keys(w.kv)) {
		if strings.HasPrefix(key, Root) {
			snapshot.Items = append(snapshot.Items, w.kv[key])
		}
	}
	w.seen[node] = uint64(len(w.events))
	w.send(node, snapshot)
}

// updateStoreHealth tells a controller when it has lost the store for a report interval, and when
// it reaches it again.
func (w *world) updateStoreHealth(node string) {
	switch since, unavailable := w.storeUnavailableSince[node]; {
	case !w.outage && !w.withoutStore[node]:
		delete(w.storeUnavailableSince, node)
		if w.awaitingSnapshot[node] {
			w.read(node)
		}
		if w.awaitingLease[node] {
			w.grantLease(node)
		}
		if w.storeLossReported[node] {
			delete(w.storeLossReported, node)
			w.send(node, StoreHealth{OK: true})
		}
	case !unavailable:
		w.storeUnavailableSince[node] = w.now
	case !w.storeLossReported[node] && w.now-since > seconds(w.cfg[node].Params.Workers.ReportS):
		w.storeLossReported[node] = true
		w.send(node, StoreHealth{})
	}
}

// change applies one change as a revision of its own.
func (w *world) change(ch protocol.Change) {
	w.revision++
	w.applyChange(ch)
}

// applyChange applies a change at the current revision and records its event.
func (w *world) applyChange(ch protocol.Change) {
	if ch.Delete != "" {
		if _, ok := w.kv[ch.Delete]; ok {
			delete(w.kv, ch.Delete)
			w.recordEvent(protocol.Event{Delete: ch.Delete, Version: w.revision})
		}
		return
	}
	if id, final := strings.CutPrefix(ch.Put, keyState); final {
		w.endedAt[id] = w.now
	}
	w.kv[ch.Put] = protocol.KeyValue{Key: ch.Put, Value: slices.Clone(ch.Value), Version: w.revision, Lease: ch.Lease}
	w.recordEvent(protocol.Event{Put: ch.Put, Value: slices.Clone(ch.Value), Version: w.revision})
}

// recordEvent appends an event for the controllers' watches.
func (w *world) recordEvent(e protocol.Event) {
	if strings.HasPrefix(e.Put+e.Delete, Root) {
		w.events = append(w.events, e)
	}
}

// executeTxn executes a controller's transaction and sends the reply, unless a fault refuses or
// delays the transaction or loses the reply.
func (w *world) executeTxn(node string, e StoreTxn) {
	if w.outage || w.withoutStore[node] {
		w.send(node, StoreReply{ID: e.ID, Outcome: Refused})
		return
	}
	if w.notUpgraded[node] && slices.ContainsFunc(e.Txn.Then, func(ch protocol.Change) bool { return strings.HasPrefix(ch.Put, keyVersion) }) {
		w.send(node, StoreReply{ID: e.ID, Outcome: Refused})
		return
	}
	if !w.fitsStoreLimits(e.Txn) {
		w.t.Errorf("%v: transaction of %d changes and %d conditions, the first change on %s, exceeds the limits of the store", w.now, len(e.Txn.Then), len(e.Txn.If), e.Txn.Then[0].Put+e.Txn.Then[0].Delete)
	}
	w.requests++
	if w.lateWrite != nil && len(e.Txn.Then) > 0 {
		if d := w.lateWrite(node, e); d > 0 {
			w.executeTxnLate(node, e, d)
			return
		}
	}
	r := w.decide(e.Txn)
	r.ID = e.ID
	if w.lostReplies > 0 {
		w.lostReplies--
		r = StoreReply{ID: e.ID, Outcome: Unknown}
	}
	w.send(node, r)
}

// decide commits a transaction if its conditions hold and its leases are active.
func (w *world) decide(txn protocol.Txn) (r StoreReply) {
	for _, ch := range txn.Then {
		if ch.Lease != 0 && w.leases[ch.Lease] == "" {
			return StoreReply{Outcome: NoLease}
		}
	}
	for _, cond := range txn.If {
		if w.kv[cond.Key].Version != cond.Version {
			r.Failed = append(r.Failed, cond.Key)
		}
	}
	if w.nameOneFailedKey && len(r.Failed) > 1 {
		r.Failed = r.Failed[:1]
	}
	if len(r.Failed) > 0 {
		r.Outcome, r.Revision = Conflict, w.revision
	} else {
		w.checkFenced(txn)
		if len(txn.Then) > 0 {
			w.revision++
		}
		for _, ch := range txn.Then {
			w.applyChange(ch)
		}
		r.Revision = w.revision
	}
	return r
}

// executeGet sends a controller the value of a key.
func (w *world) executeGet(node string, e StoreGet) {
	w.requests++
	r := StoreReply{ID: e.ID, Outcome: Missing, Revision: w.revision}
	if kv, ok := w.kv[e.Key]; ok {
		r.Outcome, r.Item = Applied, kv
	}
	if w.outage || w.withoutStore[node] {
		r = StoreReply{ID: e.ID, Outcome: Refused}
	}
	w.send(node, r)
}

// storeLimits returns the limits that the store enforces now.
func (w *world) storeLimits() settings.StateLimits {
	state := w.cfg[w.names[0]].Params.State
	if w.lowLimits {
		return state.Tightest()
	}
	return state.StateLimits
}

// fitsStoreLimits reports whether a transaction is within the limits of the store.
func (w *world) fitsStoreLimits(txn protocol.Txn) bool {
	p := w.storeLimits()
	return len(txn.Then) <= p.TxnOps && len(txn.If) <= 4*p.TxnOps && !slices.ContainsFunc(txn.Then, func(ch protocol.Change) bool {
		return float64(len(ch.Value)) > p.ValueKB*1024
	})
}

// executeTxnLate executes a transaction after delay. Its sender is told after at most a second that
// the outcome is unknown.
func (w *world) executeTxnLate(node string, e StoreTxn, delay time.Duration) {
	sentAt, sender := w.now, w.cores[node]
	w.scheduledActions = append(w.scheduledActions, func() bool {
		if w.now < sentAt+delay || w.outage {
			return false
		}
		if w.fitsStoreLimits(e.Txn) { // the limits may have been lowered since
			w.decide(e.Txn)
		}
		return true
	})
	w.scheduledActions = append(w.scheduledActions, func() bool {
		if w.now < sentAt+min(delay, time.Second) {
			return false
		}
		if w.cores[node] == sender {
			w.send(node, StoreReply{ID: e.ID, Outcome: Unknown})
		}
		return true
	})
}

// checkFenced checks that a transaction would have no effect if it was executed after newer ones
// of the same controller: it must have a condition on a key that it changes, so that any newer
// change of that key makes it fail.
func (w *world) checkFenced(txn protocol.Txn) {
	for _, ch := range txn.Then {
		key := ch.Put + ch.Delete
		switch {
		case slices.ContainsFunc(txn.If, func(c protocol.Condition) bool { return c.Key == key }):
			return
		case strings.HasPrefix(key, keyCordon), strings.HasPrefix(key, keyIntent), strings.HasPrefix(key, keyRecord):
			// A terminated machine never returns, a rental's name is never reused, and usage
			// records are hints: an outdated one changes the fairness ranking only slightly.
			return
		}
	}
	if len(txn.Then) > 0 {
		w.t.Errorf("%v: a late write of %s could overwrite a newer one: no condition on a changed key", w.now, txn.Then[0].Put+txn.Then[0].Delete)
	}
}

// checkTokenOwner checks that no two incarnations acquire the same fencing token.
func (w *world) checkTokenOwner(node string, token uint64) {
	owner := w.cores[node].members.incarnation
	if otherOwner, owned := w.tokenOwners[token]; owned && otherOwner != owner {
		w.t.Errorf("%v: %s and %s both acquired fencing token %d", w.now, otherOwner, owner, token)
	}
	w.tokenOwners[token] = owner
}
