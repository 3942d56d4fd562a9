package core

import (
	"slices"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// isObsolete reports whether the reply to an update no longer matters, because its job was dropped or
// this node no longer leads its team. The watch then delivers the outcome.
func (w *jobWriter) isObsolete(u *jobUpdate) bool {
	return w.core.jobs[u.job.ID] != u.job || !u.team.leading
}

// onUpdateReply handles the outcome of a job's transaction.
func (w *jobWriter) onUpdateReply(u *jobUpdate, r StoreReply) {
	if w.isObsolete(u) {
		return
	}
	switch r.Outcome {
	case OutcomeApplied:
		w.handleApplied(u, r.Revision)
	case OutcomeConflict:
		w.handleConflict(u, r)
	case OutcomeUnknown:
		// The transaction may have been applied, or may still be. Sending it again resolves
		// that: either the retry is applied and the first attempt then fails its conditions,
		// or the retry conflicts because the first attempt was applied.
		u.retries++
		w.sendUpdate(u)
	default:
		w.revertUpdate(u)
		// The store is down or overloaded: pause writes briefly.
		w.budget.pausedUntil = w.now.Steady + w.reportInterval()/6
	}
}

// revertUpdate marks the contents of a failed update as changed again. If the job was cancelled
// meanwhile, it drops the unstored bindings: they will be neither stored nor started.
func (w *jobWriter) revertUpdate(u *jobUpdate) {
	u.job.InFlight = false
	u.job.RevertWrites(u.chunks)
	u.job.UnstoredExits = append(u.exits, u.job.UnstoredExits...)
	if u.job.Cancelled {
		w.core.unbindUnstored(u.job)
	}
}

// handleApplied applies the effects of an update that the store has held since a revision.
func (w *jobWriter) handleApplied(u *jobUpdate, revision uint64) {
	j := u.job
	j.InFlight, j.Version, j.StoredAttempt = false, revision, u.attempt
	if u.finalState != "" {
		w.handleJobEnded(u, revision)
		return
	}
	for _, b := range u.bindings {
		b.Stored = true
	}
	w.core.reconciler.sendStarts(j)
	w.core.reconciler.forgetEndedTasks(j, u.exits)
}

// handleJobEnded drops a job whose final state is stored.
func (w *jobWriter) handleJobEnded(u *jobUpdate, revision uint64) {
	j := u.job
	state := protocol.JobState{ID: j.ID, State: u.finalState}
	if u.finalState == protocol.Done {
		state.Done = j.Tasks
	}
	w.core.rememberFinalState(j.ID, state)
	w.core.recordEnd(j.ID, revision)
	w.log(Debug, "job ended", "job", j.ID, "state", u.finalState)
	w.core.reconciler.forgetEndedTasks(j, u.exits)
	w.core.forgetJob(j)
}

// handleConflict handles the conditions that failed. If the condition on the head or on the team's
// leader failed, it reads the head: either another leader has written it, or an earlier send of this
// same update.
func (w *jobWriter) handleConflict(u *jobUpdate, r StoreReply) {
	j, failed := u.job, r.Failed
	head := jobKey(j.ID)
	if slices.Contains(failed, head) || slices.Contains(failed, u.team.key) {
		w.readHead(u)
		return
	}
	w.revertUpdate(u)
	if slices.Contains(failed, cancelKey(j.ID)) {
		w.core.announcements.apply(Cancellation{Job: j.ID, Revision: r.Revision})
	}
	if slices.Contains(failed, outgoingKey(j.ID)) {
		w.core.onHandedOff(j)
	}
	for i, b := range ordered(j.Bound) {
		if !b.Stored && slices.Contains(failed, keyCordon+b.Machine) {
			w.core.autoscaler.beginCordon(b.Machine, w.now.Steady)
			w.core.unbind(j, i)
		}
	}
}

// readHead reads the stored head to determine who wrote it.
func (w *jobWriter) readHead(u *jobUpdate) {
	w.get(jobKey(u.job.ID), func(r StoreReply) { w.onHeadRead(u, r) })
}

// onHeadRead resolves a conflict by comparing the nonce of the head with that of the update. If
// another controller wrote or deleted the head, this node no longer leads the team.
func (w *jobWriter) onHeadRead(u *jobUpdate, r StoreReply) {
	if w.isObsolete(u) {
		return
	}
	switch r.Outcome {
	case OutcomeApplied:
		if nonce, err := job.HeadNonce(r.Item.Value); err == nil && nonce == u.nonce {
			w.handleApplied(u, r.Item.Version)
			return
		}
	case OutcomeMissing:
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

// readFinalState determines, for a job whose head has been deleted, whether the stored final state is
// the one that the update writes. If it is not, this node no longer leads the team.
func (w *jobWriter) readFinalState(u *jobUpdate) {
	w.get(keyState+u.job.ID, func(r StoreReply) {
		if w.isObsolete(u) {
			return
		}
		var stored finalStateRecord
		if r.Outcome == OutcomeApplied && json.Unmarshal(r.Item.Value, &stored) == nil && stored.State == u.finalState {
			w.handleApplied(u, r.Item.Version)
			return
		}
		w.core.lostLeadership(&u.team.shard)
	})
}
