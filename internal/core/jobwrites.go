package core

import (
	"fmt"
	"slices"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// jobUpdate is one transaction on a job and what it carries.
type jobUpdate struct {
	team   *team
	job    *job.Job
	txn    protocol.Txn
	writes []job.ChunkWrite
	bound  []*job.Binding
	final  string
	nonce  string
	// attempt is the highest attempt number that it stores.
	attempt uint64
	retries int
	// ended lists the exits that the store knows of once this is applied.
	ended []job.Exit
}

// flush stores a job, on the condition that this node is still the home and
// nobody has changed the job.
func (c *Core) flush(t *team, j *job.Job) {
	c.nextID++
	u := &jobUpdate{team: t, job: j, nonce: fmt.Sprintf("%s.%d", c.incarnation, c.nextID), attempt: j.Attempt}
	j.Nonce = u.nonce
	u.txn.If = []protocol.Condition{t.leaderCondition(), {Key: jobKey(j.ID), Version: j.Version}}
	c.splitChunks(j)
	others := headChanges
	if j.Complete() || j.Cancelled {
		others = endChanges
	}
	more := false
	u.writes, more = j.TakeDirty(c.limits.chunksPerTxn(others))
	for _, w := range u.writes {
		key := chunkKey(j.ID, w.Key)
		if w.Value == nil {
			u.txn.Then = append(u.txn.Then, protocol.Change{Delete: key})
		} else {
			u.txn.Then = append(u.txn.Then, protocol.Change{Put: key, Value: w.Value})
		}
	}
	switch {
	case more:
	case j.Cancelled && len(j.Bound) == 0:
		u.final = protocol.Cancelled
	case j.Complete() && !j.Cancelled:
		u.final = protocol.Done
	}
	if !more {
		u.ended, j.Ended = j.Ended, nil
	}
	c.closeUpdate(u, more)
	j.InFlight, j.Urgent, j.StoredAt = true, false, c.now.Steady
	c.writeBudget.level -= float64(len(u.txn.Then))
	c.sendUpdate(u)
}

// closeUpdate adds the head, or its removal, and the conditions of bindings.
func (c *Core) closeUpdate(u *jobUpdate, more bool) {
	j := u.job
	head := jobKey(j.ID)
	switch u.final {
	case protocol.Done:
		u.txn.If = append(u.txn.If, protocol.Condition{Key: cancelKey(j.ID)})
		u.txn.Then = append(u.txn.Then, protocol.Change{Delete: head},
			putJSON(keyState+j.ID, finalStateRecord{State: protocol.Done, Tasks: j.Tasks}))
	case protocol.Cancelled:
		u.txn.Then = append(u.txn.Then, protocol.Change{Delete: head})
		c.closeCancelled(u)
	default:
		u.txn.Then = append(u.txn.Then, protocol.Change{Put: head, Value: j.Head()})
		u.bound = c.newBindings(j, u, more)
	}
}

// closeCancelled adds what else ends a cancelled job: its user's cancellation has stored
// the final state; one that was cancelled with another has none yet.
func (c *Core) closeCancelled(u *jobUpdate) {
	j := u.job
	if c.userCancelled(j.ID) {
		u.txn.Then = append(u.txn.Then, protocol.Change{Delete: cancelKey(j.ID)})
		return
	}
	u.txn.If = append(u.txn.If, protocol.Condition{Key: cancelKey(j.ID)})
	u.txn.Then = append(u.txn.Then, putJSON(keyState+j.ID, finalStateRecord{State: protocol.Cancelled}))
}

// newBindings lists the bindings that become stored by u, and adds the
// conditions under which they may: the job is not cancelled, and no machine of
// theirs is closing.
func (c *Core) newBindings(j *job.Job, u *jobUpdate, more bool) []*job.Binding {
	var out []*job.Binding
	machines := map[string]bool{}
	for i, b := range ordered(j.Bound) {
		if b.Stored || more && j.DirtyAt(i) {
			continue
		}
		out = append(out, b)
		if !machines[b.Machine] {
			machines[b.Machine] = true
			u.txn.If = append(u.txn.If, protocol.Condition{Key: keyCordon + b.Machine})
		}
	}
	if len(out) > 0 {
		u.txn.If = append(u.txn.If, protocol.Condition{Key: cancelKey(j.ID)})
		u.txn.If = append(u.txn.If, c.notHandedOff(j.ID)...)
	}
	return out
}

func (c *Core) sendUpdate(u *jobUpdate) {
	c.compareAndSwap(u.txn, true, func(r StoreReply) { c.onUpdateReply(u, r) })
}

// onUpdateReply takes the outcome of a job's transaction.
func (c *Core) onUpdateReply(u *jobUpdate, r StoreReply) {
	if c.jobs[u.job.ID] != u.job || !u.team.leading {
		return // given up or handed over meanwhile; the replica tells the rest
	}
	switch r.Outcome {
	case Applied:
		c.updateApplied(u, r.Revision)
	case Conflict:
		c.updateConflict(u, r)
	case Unknown:
		// It may still be applied late. Sending the same again settles it:
		// either this one is applied and voids the first, or its conflict
		// shows that the first was.
		u.retries++
		c.sendUpdate(u)
	default:
		c.revertUpdate(u)
		// The state service is down or overloaded: store nothing for a moment.
		c.scheduler.storeAfter = c.now.Steady + c.reportInterval()/6
	}
}

// revertUpdate marks what an update was to store as changed again. What it was to bind of a job
// that was cancelled meanwhile never will be stored, nor started.
func (c *Core) revertUpdate(u *jobUpdate) {
	u.job.InFlight = false
	u.job.Retouch(u.writes)
	u.job.Ended = append(u.ended, u.job.Ended...)
	if u.job.Cancelled {
		c.unbindUnstored(u.job)
	}
}

// unbindUnstored ends the bindings that the store does not hold.
func (c *Core) unbindUnstored(j *job.Job) {
	for i, b := range ordered(j.Bound) {
		if !b.Stored {
			c.unbind(j, i)
		}
	}
}

func (c *Core) updateApplied(u *jobUpdate, revision uint64) {
	j := u.job
	j.InFlight, j.Version, j.StoredAttempt = false, revision, u.attempt
	if u.final != "" {
		s := protocol.JobState{ID: j.ID, State: u.final}
		if u.final == protocol.Done {
			s.Done = j.Tasks
		}
		c.rememberFinalState(j.ID, s)
		c.noteEnd(j.ID, revision)
		c.log(Debug, "job ended", "job", j.ID, "state", u.final)
		c.forgetEndedTasks(j, u.ended)
		c.forgetJob(j)
		return
	}
	for _, b := range u.bound {
		b.Stored = true
	}
	c.sendStarts(j)
	c.forgetEndedTasks(j, u.ended)
}

// updateConflict finds out which condition failed. A failed head is either
// this very update, applied by an earlier send, or another home's.
func (c *Core) updateConflict(u *jobUpdate, r StoreReply) {
	j, failed := u.job, r.Failed
	head := jobKey(j.ID)
	if slices.Contains(failed, head) || slices.Contains(failed, u.team.key) {
		c.get(head, func(r StoreReply) { c.headRead(u, r) })
		return
	}
	c.revertUpdate(u)
	if slices.Contains(failed, cancelKey(j.ID)) {
		c.noteCancellation(Cancellation{Job: j.ID, Revision: r.Revision})
	}
	if slices.Contains(failed, awayKey(j.ID)) {
		c.handedOff(j)
	}
	for i, b := range j.Bound {
		if !b.Stored && slices.Contains(failed, keyCordon+b.Machine) {
			c.autoscaler.cordoned[b.Machine] = c.now.Steady
			c.unbind(j, i)
		}
	}
}

// headRead settles a conflict on the head by the nonce that it carries.
func (c *Core) headRead(u *jobUpdate, r StoreReply) {
	if c.jobs[u.job.ID] != u.job || !u.team.leading {
		return
	}
	switch r.Outcome {
	case Applied:
		var h struct {
			Nonce string `json:"w"`
		}
		if err := json.Unmarshal(r.Item.Value, &h); err == nil && h.Nonce == u.nonce {
			c.updateApplied(u, r.Item.Version)
			return
		}
	case Missing:
		if u.final != "" && u.retries > 0 {
			c.get(keyState+u.job.ID, func(s StoreReply) { c.finalRead(u, s) })
			return
		}
	default:
		c.get(jobKey(u.job.ID), func(r StoreReply) { c.headRead(u, r) })
		return
	}
	c.log(Info, "deposed as home", "team", u.team.Name, "job", u.job.ID)
	c.lostLeadership(u.team)
}

// finalRead tells whether the end of a job that is no longer stored is the one
// that u was to store.
func (c *Core) finalRead(u *jobUpdate, r StoreReply) {
	if c.jobs[u.job.ID] != u.job || !u.team.leading {
		return
	}
	var s finalStateRecord
	if r.Outcome == Applied && json.Unmarshal(r.Item.Value, &s) == nil && s.State == u.final {
		c.updateApplied(u, r.Item.Version)
		return
	}
	c.lostLeadership(u.team)
}

// unbind ends a binding, on proof that the task is gone or was never sent.
func (c *Core) unbind(j *job.Job, i int) {
	j.Unbind(i)
	j.Urgent = j.Urgent || j.Kind != job.Array
	c.requestRound()
}
