package core

import (
	"fmt"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// jobUpdate is one transaction on a job and what it stores.
type jobUpdate struct {
	team *team
	job  *job.Job
	txn  protocol.Txn
	// nonce marks the head that this update writes.
	nonce string
	// attempt is the highest attempt number that it stores.
	attempt uint64
	// chunks are the chunks that it writes; partial tells that further ones have changed.
	chunks  []job.ChunkWrite
	partial bool
	// bindings become stored by it.
	bindings []*job.Binding
	// finalState is the state that it ends the job with, empty while the job goes on.
	finalState string
	// exits are those that the store knows of once this is applied.
	exits []job.Exit
	// retries is how often it was sent again.
	retries int
}

// flushJob stores a job, on the condition that this node still leads its team and nobody else
// has changed the job.
func (w *jobWriter) flushJob(t *team, j *job.Job) {
	update := &jobUpdate{
		team:    t,
		job:     j,
		nonce:   fmt.Sprintf("%s.%d", w.core.members.incarnation, w.ids.next()),
		attempt: j.Attempt,
	}
	j.Nonce = update.nonce
	update.require(t.leaderCondition())
	update.require(protocol.Condition{Key: jobKey(j.ID), Version: j.Version})
	if w.core.chunks.split(j) {
		w.core.counts.SplitJobs++
	}
	update.takeChunks(&w.core.limits)
	w.addHead(update)

	j.InFlight, j.Urgent, j.StoredAt = true, false, w.now.Steady
	w.budget.spend(len(update.txn.Then))
	w.sendUpdate(update)
}

// require adds conditions of the update.
func (u *jobUpdate) require(conditions ...protocol.Condition) {
	u.txn.If = append(u.txn.If, conditions...)
}

// change adds changes that the update makes.
func (u *jobUpdate) change(changes ...protocol.Change) {
	u.txn.Then = append(u.txn.Then, changes...)
}

// takeChunks takes as many changed chunks as one transaction may have, and decides whether the
// job ends with them.
func (u *jobUpdate) takeChunks(limits *storeLimits) {
	j := u.job
	others := headChanges
	if j.Complete() || j.Cancelled {
		others = endChanges
	}
	u.chunks, u.partial = j.TakeDirty(limits.chunksPerTxn(others))
	for _, chunk := range u.chunks {
		key := chunkKey(j.ID, chunk.Key)
		if chunk.Value == nil {
			u.change(protocol.Change{Delete: key})
		} else {
			u.change(protocol.Change{Put: key, Value: chunk.Value})
		}
	}
	if u.partial {
		return
	}
	u.exits, j.UnstoredExits = j.UnstoredExits, nil
	switch {
	case j.Cancelled && len(j.Bound) == 0:
		u.finalState = protocol.Cancelled
	case j.Complete() && !j.Cancelled:
		u.finalState = protocol.Done
	}
}

// addHead adds the head, or its removal, and the conditions of bindings.
func (w *jobWriter) addHead(u *jobUpdate) {
	j := u.job
	head := jobKey(j.ID)
	switch u.finalState {
	case protocol.Done:
		u.require(protocol.Condition{Key: cancelKey(j.ID)})
		u.change(
			protocol.Change{Delete: head},
			putJSON(keyState+j.ID, finalStateRecord{State: protocol.Done, Tasks: j.Tasks}),
		)
	case protocol.Cancelled:
		u.change(protocol.Change{Delete: head})
		w.addCancelledEnd(u)
	default:
		u.change(protocol.Change{Put: head, Value: j.Head()})
		w.addBindings(u)
	}
}

// addCancelledEnd adds what else ends a cancelled job: its user's cancellation has stored the
// final state; one that was cancelled with a dependency has none yet.
func (w *jobWriter) addCancelledEnd(u *jobUpdate) {
	id := u.job.ID
	if w.core.userCancelled(id) {
		u.change(protocol.Change{Delete: cancelKey(id)})
		return
	}
	u.require(protocol.Condition{Key: cancelKey(id)})
	u.change(putJSON(keyState+id, finalStateRecord{State: protocol.Cancelled}))
}

// addBindings lists the bindings that become stored by the update, and adds the conditions
// under which they may: the job is not cancelled or handed off, and no machine of theirs is
// cordoned.
func (w *jobWriter) addBindings(u *jobUpdate) {
	j := u.job
	machines := map[string]bool{}
	for i, b := range ordered(j.Bound) {
		if b.Stored || u.partial && j.TaskDirty(i) {
			continue
		}
		u.bindings = append(u.bindings, b)
		if !machines[b.Machine] {
			machines[b.Machine] = true
			u.require(protocol.Condition{Key: keyCordon + b.Machine})
		}
	}
	if len(u.bindings) > 0 {
		u.require(protocol.Condition{Key: cancelKey(j.ID)})
		u.require(w.core.notHandedOff(j.ID)...)
	}
}

func (w *jobWriter) sendUpdate(u *jobUpdate) {
	w.compareAndSwap(u.txn, true, func(r StoreReply) { w.onUpdateReply(u, r) })
}
