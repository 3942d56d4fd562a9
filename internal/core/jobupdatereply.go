package core

import (
	"slices"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// obsolete tells whether an update was overtaken: its job was forgotten, or its team has another
// leader. The replica tells the rest.
func (w *jobWriter) obsolete(u *jobUpdate) bool {
	return w.core.jobs[u.job.ID] != u.job || !u.team.leading
}

// onUpdateReply takes the outcome of a job's transaction.
func (w *jobWriter) onUpdateReply(u *jobUpdate, r StoreReply) {
	if w.obsolete(u) {
		return
	}
	switch r.Outcome {
	case Applied:
		w.updateApplied(u, r.Revision)
	case Conflict:
		w.updateConflict(u, r)
	case Unknown:
		// It may still be applied late. Sending the same again resolves it: either this one
		// is applied and voids the first, or its conflict shows that the first was.
		u.retries++
		w.sendUpdate(u)
	default:
		w.revertUpdate(u)
		// The store is down or overloaded: write nothing for a moment.
		w.budget.pausedUntil = w.now.Steady + w.reportInterval()/6
	}
}

// revertUpdate marks what an update was to store as changed again. What it was to bind of a job
// that was cancelled meanwhile will never be stored, nor started.
func (w *jobWriter) revertUpdate(u *jobUpdate) {
	u.job.InFlight = false
	u.job.RevertWrites(u.chunks)
	u.job.UnstoredExits = append(u.exits, u.job.UnstoredExits...)
	if u.job.Cancelled {
		w.core.unbindUnstored(u.job)
	}
}

// updateApplied takes it that the store holds an update since a revision.
func (w *jobWriter) updateApplied(u *jobUpdate, revision uint64) {
	j := u.job
	j.InFlight, j.Version, j.StoredAttempt = false, revision, u.attempt
	if u.finalState != "" {
		w.jobEnded(u, revision)
		return
	}
	for _, b := range u.bindings {
		b.Stored = true
	}
	w.core.reconciler.sendStarts(j)
	w.core.reconciler.forgetEndedTasks(j, u.exits)
}

// jobEnded forgets a job whose final state is stored.
func (w *jobWriter) jobEnded(u *jobUpdate, revision uint64) {
	j := u.job
	state := protocol.JobState{ID: j.ID, State: u.finalState}
	if u.finalState == protocol.Done {
		state.Done = j.Tasks
	}
	w.core.rememberFinalState(j.ID, state)
	w.core.noteEnd(j.ID, revision)
	w.log(Debug, "job ended", "job", j.ID, "state", u.finalState)
	w.core.reconciler.forgetEndedTasks(j, u.exits)
	w.core.forgetJob(j)
}

// updateConflict finds out which condition failed. A failed head was written either by this very
// update, applied by an earlier send, or by another leader.
func (w *jobWriter) updateConflict(u *jobUpdate, r StoreReply) {
	j, failed := u.job, r.Failed
	head := jobKey(j.ID)
	if slices.Contains(failed, head) || slices.Contains(failed, u.team.key) {
		w.readHead(u)
		return
	}
	w.revertUpdate(u)
	if slices.Contains(failed, cancelKey(j.ID)) {
		w.core.announcements.note(Cancellation{Job: j.ID, Revision: r.Revision})
	}
	if slices.Contains(failed, outgoingKey(j.ID)) {
		w.core.onHandedOff(j)
	}
	for i, b := range j.Bound {
		if !b.Stored && slices.Contains(failed, keyCordon+b.Machine) {
			w.core.autoscaler.beginCordon(b.Machine, w.now.Steady)
			w.core.unbind(j, i)
		}
	}
}

// readHead reads the job's head to find out who wrote it.
func (w *jobWriter) readHead(u *jobUpdate) {
	w.get(jobKey(u.job.ID), func(r StoreReply) { w.onHeadRead(u, r) })
}

// onHeadRead resolves a conflict on the head by the nonce that it carries.
func (w *jobWriter) onHeadRead(u *jobUpdate, r StoreReply) {
	if w.obsolete(u) {
		return
	}
	switch r.Outcome {
	case Applied:
		if nonce, err := job.HeadNonce(r.Item.Value); err == nil && nonce == u.nonce {
			w.updateApplied(u, r.Item.Version)
			return
		}
	case Missing:
		if u.finalState != "" && u.retries > 0 {
			w.readFinalState(u)
			return
		}
	default:
		w.readHead(u)
		return
	}
	w.log(Info, "leadership superseded", "shard", u.team.Name, "job", u.job.ID)
	w.core.lostLeadership(&u.team.shard)
}

// readFinalState finds out whether the end of a job that is no longer stored is the one that the
// update was to store.
func (w *jobWriter) readFinalState(u *jobUpdate) {
	w.get(keyState+u.job.ID, func(r StoreReply) {
		if w.obsolete(u) {
			return
		}
		var stored finalStateRecord
		if r.Outcome == Applied && json.Unmarshal(r.Item.Value, &stored) == nil && stored.State == u.finalState {
			w.updateApplied(u, r.Item.Version)
			return
		}
		w.core.lostLeadership(&u.team.shard)
	})
}
