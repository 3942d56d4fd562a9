package core

import (
	"slices"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// obsolete tells whether an update was overtaken: its job was forgotten, or its team has another
// leader. The replica tells the rest.
func (c *Core) obsolete(u *jobUpdate) bool {
	return c.jobs[u.job.ID] != u.job || !u.team.leading
}

// onUpdateReply takes the outcome of a job's transaction.
func (c *Core) onUpdateReply(u *jobUpdate, r StoreReply) {
	if c.obsolete(u) {
		return
	}
	switch r.Outcome {
	case Applied:
		c.updateApplied(u, r.Revision)
	case Conflict:
		c.updateConflict(u, r)
	case Unknown:
		// It may still be applied late. Sending the same again resolves it: either this one
		// is applied and voids the first, or its conflict shows that the first was.
		u.retries++
		c.sendUpdate(u)
	default:
		c.revertUpdate(u)
		// The store is down or overloaded: write nothing for a moment.
		c.writeBudget.pausedUntil = c.now.Steady + c.reportInterval()/6
	}
}

// revertUpdate marks what an update was to store as changed again. What it was to bind of a job
// that was cancelled meanwhile will never be stored, nor started.
func (c *Core) revertUpdate(u *jobUpdate) {
	u.job.InFlight = false
	u.job.RevertWrites(u.chunks)
	u.job.UnstoredExits = append(u.exits, u.job.UnstoredExits...)
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

// updateApplied takes it that the store holds an update since a revision.
func (c *Core) updateApplied(u *jobUpdate, revision uint64) {
	j := u.job
	j.InFlight, j.Version, j.StoredAttempt = false, revision, u.attempt
	if u.finalState != "" {
		c.jobEnded(u, revision)
		return
	}
	for _, b := range u.bindings {
		b.Stored = true
	}
	c.reconciler.sendStarts(j)
	c.reconciler.forgetEndedTasks(j, u.exits)
}

// jobEnded forgets a job whose final state is stored.
func (c *Core) jobEnded(u *jobUpdate, revision uint64) {
	j := u.job
	state := protocol.JobState{ID: j.ID, State: u.finalState}
	if u.finalState == protocol.Done {
		state.Done = j.Tasks
	}
	c.rememberFinalState(j.ID, state)
	c.noteEnd(j.ID, revision)
	c.log(Debug, "job ended", "job", j.ID, "state", u.finalState)
	c.reconciler.forgetEndedTasks(j, u.exits)
	c.forgetJob(j)
}

// updateConflict finds out which condition failed. A failed head was written either by this very
// update, applied by an earlier send, or by another leader.
func (c *Core) updateConflict(u *jobUpdate, r StoreReply) {
	j, failed := u.job, r.Failed
	head := jobKey(j.ID)
	if slices.Contains(failed, head) || slices.Contains(failed, u.team.key) {
		c.readHead(u)
		return
	}
	c.revertUpdate(u)
	if slices.Contains(failed, cancelKey(j.ID)) {
		c.announcements.note(Cancellation{Job: j.ID, Revision: r.Revision})
	}
	if slices.Contains(failed, outgoingKey(j.ID)) {
		c.onHandedOff(j)
	}
	for i, b := range j.Bound {
		if !b.Stored && slices.Contains(failed, keyCordon+b.Machine) {
			c.autoscaler.beginCordon(b.Machine, c.now.Steady)
			c.unbind(j, i)
		}
	}
}

// readHead reads the job's head to find out who wrote it.
func (c *Core) readHead(u *jobUpdate) {
	c.get(jobKey(u.job.ID), func(r StoreReply) { c.onHeadRead(u, r) })
}

// onHeadRead resolves a conflict on the head by the nonce that it carries.
func (c *Core) onHeadRead(u *jobUpdate, r StoreReply) {
	if c.obsolete(u) {
		return
	}
	switch r.Outcome {
	case Applied:
		if nonce, err := job.HeadNonce(r.Item.Value); err == nil && nonce == u.nonce {
			c.updateApplied(u, r.Item.Version)
			return
		}
	case Missing:
		if u.finalState != "" && u.retries > 0 {
			c.readFinalState(u)
			return
		}
	default:
		c.readHead(u)
		return
	}
	c.log(Info, "leadership superseded", "shard", u.team.Name, "job", u.job.ID)
	c.lostLeadership(&u.team.shard)
}

// readFinalState finds out whether the end of a job that is no longer stored is the one that the
// update was to store.
func (c *Core) readFinalState(u *jobUpdate) {
	c.get(keyState+u.job.ID, func(r StoreReply) {
		if c.obsolete(u) {
			return
		}
		var stored finalStateRecord
		if r.Outcome == Applied && json.Unmarshal(r.Item.Value, &stored) == nil && stored.State == u.finalState {
			c.updateApplied(u, r.Item.Version)
			return
		}
		c.lostLeadership(&u.team.shard)
	})
}

// unbind ends a binding, on proof that the task is gone or was never sent.
func (c *Core) unbind(j *job.Job, i int) {
	j.Unbind(i)
	j.Urgent = j.Urgent || j.Kind != job.Array
	c.requestRound()
}
