package core

import (
	"maps"
	"slices"
	"strings"
	"time"

	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// grant gives a controller a lease, which ends at once while it is refused.
func (w *world) grant(node string) {
	if w.awaitingLease[node] = w.outage || w.withoutStore[node]; w.awaitingLease[node] {
		return
	}
	w.nextReq++
	w.leases[w.nextReq] = node
	w.send(node, LeaseGranted{Lease: w.nextReq})
}

// cutStore takes the state service from a controller, whose lease then ends;
// restoreStore gives it back.
func (w *world) cutStore(node string) {
	w.withoutStore[node] = true
	w.expire(node)
}

func (w *world) restoreStore(node string) {
	delete(w.withoutStore, node)
	w.send(node, LeaseExpired{})
	w.grant(node)
}

func (w *world) expire(node string) { w.endLeases(w.leasesOf(node)) }

// leasesOf lists the leases of a controller's runs that live.
func (w *world) leasesOf(node string) (out []uint64) {
	for _, lease := range slices.Sorted(maps.Keys(w.leases)) {
		if w.leases[lease] == node {
			out = append(out, lease)
		}
	}
	return out
}

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

// expireFormer ends the leases of a controller's runs but for its newest.
func (w *world) expireFormer(node string) {
	if all := w.leasesOf(node); len(all) > 1 {
		w.endLeases(all[:len(all)-1])
	}
}

// read gives a controller the stored state, now or once it is answered again.
func (w *world) read(node string) {
	if w.awaitingSnapshot[node] = w.outage || w.withoutStore[node]; !w.awaitingSnapshot[node] {
		w.load(node)
	}
}

func (w *world) load(node string) {
	l := SnapshotLoaded{Revision: w.revision}
	for _, key := range slices.Sorted(maps.Keys(w.kv)) {
		if strings.HasPrefix(key, Root) {
			l.Items = append(l.Items, w.kv[key])
		}
	}
	w.seen[node] = uint64(len(w.events))
	w.send(node, l)
}

// noticeStore tells a controller when the state service stops or starts to answer it.
func (w *world) noticeStore(node string) {
	switch since, dark := w.storeLostAt[node]; {
	case !w.outage && !w.withoutStore[node]:
		delete(w.storeLostAt, node)
		if w.awaitingSnapshot[node] {
			w.read(node)
		}
		if w.awaitingLease[node] {
			w.grant(node)
		}
		if w.storeLossNoticed[node] {
			delete(w.storeLossNoticed, node)
			w.send(node, StoreHealth{OK: true})
		}
	case !dark:
		w.storeLostAt[node] = w.now
	case !w.storeLossNoticed[node] && w.now-since > seconds(w.cfg[node].Params.Workers.ReportS):
		w.storeLossNoticed[node] = true
		w.send(node, StoreHealth{})
	}
}

func (w *world) change(ch protocol.Change) {
	w.revision++
	w.apply(ch)
}

func (w *world) apply(ch protocol.Change) {
	if ch.Delete != "" {
		if _, ok := w.kv[ch.Delete]; ok {
			delete(w.kv, ch.Delete)
			w.note(protocol.Event{Delete: ch.Delete, Version: w.revision})
		}
		return
	}
	if id, final := strings.CutPrefix(ch.Put, keyState); final {
		w.endedAt[id] = w.now
	}
	w.kv[ch.Put] = protocol.KeyValue{Key: ch.Put, Value: slices.Clone(ch.Value), Version: w.revision, Lease: ch.Lease}
	w.note(protocol.Event{Put: ch.Put, Value: slices.Clone(ch.Value), Version: w.revision})
}

func (w *world) note(e protocol.Event) {
	if strings.HasPrefix(e.Put+e.Delete, Root) {
		w.events = append(w.events, e)
	}
}

func (w *world) txn(node string, e StoreTxn) {
	if w.outage || w.withoutStore[node] {
		w.send(node, StoreReply{ID: e.ID, Outcome: Refused})
		return
	}
	if w.notUpgraded[node] && slices.ContainsFunc(e.Txn.Then, func(ch protocol.Change) bool { return strings.HasPrefix(ch.Put, keyVersion) }) {
		w.send(node, StoreReply{ID: e.ID, Outcome: Refused})
		return
	}
	if !w.fits(e.Txn) {
		w.t.Errorf("%v: transaction of %d changes and %d conditions, the first on %s, does not fit", w.now, len(e.Txn.Then), len(e.Txn.If), e.Txn.Then[0].Put+e.Txn.Then[0].Delete)
	}
	w.requests++
	if w.lateWrite != nil && len(e.Txn.Then) > 0 {
		if d := w.lateWrite(node, e); d > 0 {
			w.carryOutLate(node, e, d)
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

// decide carries a transaction out if its conditions hold and its leases live.
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
			w.apply(ch)
		}
		r.Revision = w.revision
	}
	return r
}

func (w *world) get(node string, e StoreGet) {
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

// limits are those of the state service now.
func (w *world) limits() settings.StateLimits {
	state := w.cfg[w.names[0]].Params.State
	if w.lowLimits {
		return state.Tightest()
	}
	return state.StateLimits
}

// fits tells whether a transaction is within the limits of the state service.
func (w *world) fits(txn protocol.Txn) bool {
	p := w.limits()
	return len(txn.Then) <= p.TxnOps && len(txn.If) <= 4*p.TxnOps && !slices.ContainsFunc(txn.Then, func(ch protocol.Change) bool {
		return float64(len(ch.Value)) > p.ValueKB*1024
	})
}

// carryOutLate lets a transaction get no answer and be carried out after d, by then.
func (w *world) carryOutLate(node string, e StoreTxn, d time.Duration) {
	sent, run := w.now, w.cores[node]
	w.scheduled = append(w.scheduled, func() bool {
		if w.now < sent+d || w.outage {
			return false
		}
		if w.fits(e.Txn) { // limits may have become lower since
			w.decide(e.Txn)
		}
		return true
	})
	w.scheduled = append(w.scheduled, func() bool {
		if w.now < sent+min(d, time.Second) {
			return false
		}
		if w.cores[node] == run {
			w.send(node, StoreReply{ID: e.ID, Outcome: Unknown})
		}
		return true
	})
}

// checkFenced checks that a transaction which is carried out late, after newer ones of
// the same controller, changes nothing: it changes a key that it has a condition on, and
// so does whatever else changes it.
func (w *world) checkFenced(txn protocol.Txn) {
	for _, ch := range txn.Then {
		key := ch.Put + ch.Delete
		switch {
		case slices.ContainsFunc(txn.If, func(c protocol.Condition) bool { return c.Key == key }):
			return
		case strings.HasPrefix(key, keyCordon), strings.HasPrefix(key, keyIntent), strings.HasPrefix(key, keyRecord):
			// That a machine is gone is true for good, a rental's name is never used for
			// another, and records are advice: an old one changes the ranking a little.
			return
		}
	}
	if len(txn.Then) > 0 {
		w.t.Errorf("%v: a late write of %s would take the place of a newer one", w.now, txn.Then[0].Put+txn.Then[0].Delete)
	}
}

// checkToken checks that each term belongs to one run of one controller.
func (w *world) checkToken(node string, term uint64) {
	run := w.cores[node].members.incarnation
	if other, taken := w.tokenOwners[term]; taken && other != run {
		w.t.Errorf("%v: %s and %s both have the term %d", w.now, other, run, term)
	}
	w.tokenOwners[term] = run
}
