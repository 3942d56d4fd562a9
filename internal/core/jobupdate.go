package core

import (
	"fmt"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// jobUpdate is a transaction that writes one job, with the state that takes effect once it is
// applied.
type jobUpdate struct {
	team *team
	job  *job.Job
	txn  protocol.Txn
	// nonce identifies the head that this update writes.
	nonce string
	// attempt is the highest attempt number that the update stores.
	attempt uint64
	// chunks are the chunks that the update writes. partial is set if it leaves out other changed
	// chunks.
	chunks  []job.ChunkWrite
	partial bool
	// bindings are the bindings that the update stores.
	bindings []*job.Binding
	// finalState is the final state that the update stores, empty if the job continues.
	finalState string
	// exits are the task exits that the update stores.
	exits []job.Exit
	// retries counts how often the transaction was sent again.
	retries int
}

// flushJob writes a job, on the condition that this node still leads its team and that no other
// controller has changed the job.
func (w *jobWriter) flushJob(t *team, j *job.Job) {
	update := &jobUpdate{
		team:    t,
		job:     j,
		nonce:   fmt.Sprintf("%s.%d", w.core.members.incarnation, w.ids.next()),
		attempt: j.Attempt,
	}
	j.Nonce = update.nonce
	update.addConditions(t.leaderCondition())
	update.addConditions(protocol.Condition{Key: jobKey(j.ID), Version: j.Version})
	if w.core.chunks.splitOversized(j) {
		w.core.counters.SplitJobs++
	}
	update.addChunks(&w.core.limits)
	w.addHead(update)

	j.InFlight, j.Urgent, j.StoredAt = true, false, w.now.Steady
	w.budget.spend(len(update.txn.Then))
	w.sendUpdate(update)
}

// addConditions adds conditions to the transaction.
func (u *jobUpdate) addConditions(conditions ...protocol.Condition) {
	u.txn.If = append(u.txn.If, conditions...)
}

// addChanges adds changes to the transaction.
func (u *jobUpdate) addChanges(changes ...protocol.Change) {
	u.txn.Then = append(u.txn.Then, changes...)
}

// addChunks adds as many changed chunks as fit into one transaction, and determines whether the
// job ends with this update.
func (u *jobUpdate) addChunks(limits *storeLimits) {
	j := u.job
	otherChanges := headChanges
	if j.Complete() || j.Cancelled {
		otherChanges = endChanges
	}
	u.chunks, u.partial = j.TakeChunkWrites(limits.chunksPerTxn(otherChanges))
	for _, chunk := range u.chunks {
		key := chunkKey(j.ID, chunk.Key)
		if chunk.Value == nil {
			u.addChanges(protocol.Change{Delete: key})
		} else {
			u.addChanges(protocol.Change{Put: key, Value: chunk.Value})
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

// addHead adds the write of the head with the conditions of new bindings, or the deletion of the
// head with the final state if the job ends.
func (w *jobWriter) addHead(u *jobUpdate) {
	j := u.job
	head := jobKey(j.ID)
	switch u.finalState {
	case protocol.Done:
		u.addConditions(protocol.Condition{Key: cancelKey(j.ID)})
		u.addChanges(
			protocol.Change{Delete: head},
			putJSON(keyState+j.ID, finalStateRecord{State: protocol.Done, Tasks: j.Tasks}),
		)
	case protocol.Cancelled:
		u.addChanges(protocol.Change{Delete: head})
		w.addCancelledFinalState(u)
	default:
		u.addChanges(protocol.Change{Put: head, Value: j.Head()})
		w.addBindings(u)
	}
}

// addCancelledFinalState adds the remaining changes that end a cancelled job. A cancellation by the
// user has already stored the final state. A job that was cancelled because of a dependency has none
// yet.
func (w *jobWriter) addCancelledFinalState(u *jobUpdate) {
	id := u.job.ID
	if w.core.userCancelled(id) {
		u.addChanges(protocol.Change{Delete: cancelKey(id)})
		return
	}
	u.addConditions(protocol.Condition{Key: cancelKey(id)})
	u.addChanges(putJSON(keyState+id, finalStateRecord{State: protocol.Cancelled}))
}

// addBindings collects the bindings that the update stores and adds their conditions: the job is
// neither cancelled nor handed off, and none of their machines is cordoned.
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
			u.addConditions(protocol.Condition{Key: keyCordon + b.Machine})
		}
	}
	if len(u.bindings) > 0 {
		u.addConditions(protocol.Condition{Key: cancelKey(j.ID)})
		u.addConditions(w.core.notHandedOff(j.ID)...)
	}
}

func (w *jobWriter) sendUpdate(u *jobUpdate) {
	w.compareAndSwap(u.txn, true, func(r StoreReply) { w.onUpdateReply(u, r) })
}
