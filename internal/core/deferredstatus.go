package core

import "pepperlever/internal/core/lookup"

// deferredStatus is a deferred answer to requests for the state of a job that had no stored final
// state at the given revision. The job may nevertheless have been cancelled because a dependency was.
// Only a replica that has reached the revision can show that.
type deferredStatus struct {
	group    lookup.Group
	revision uint64
}

// resolveActive answers requests for a job that had no stored final state at a revision. It answers
// immediately if the job is in the replica and neither cancelled nor blocked on dependencies, and
// otherwise defers the answer until the replica covers the revision.
func (l *lookupController) resolveActive(group lookup.Group, revision uint64) {
	j := l.core.jobs[group.JobID]
	if j != nil && !j.Cancelled && !l.core.dependencies.IsBlocked(group.JobID) {
		l.resolveWithProgress(group)
		return
	}
	l.deferred = append(l.deferred, deferredStatus{group, revision})
}

// resolveWithProgress answers requests for a job without a final state.
func (l *lookupController) resolveWithProgress(group lookup.Group) {
	group.ResolveAll(lookup.Result{Outcome: lookup.Active, State: l.core.jobProgress(group.JobID)})
}

// answerDeferred answers the deferred requests that the replica now covers, and fails those whose
// users are about to time out.
func (l *lookupController) answerDeferred() {
	pending := l.deferred
	l.deferred = nil
	for _, status := range pending {
		switch {
		case lookup.Expired(status.group.Requests[0], l.core.now.Steady):
			status.group.ResolveUnavailable()
		case !l.replicaCovers(status):
			l.deferred = append(l.deferred, status)
		default:
			l.resolveFromReplica(status.group)
		}
	}
}

// replicaCovers reports whether the replica shows every cancellation that may have ended a job by the
// revision at which the job's state was read. This requires that the states of its direct and
// transitive dependencies are known.
func (l *lookupController) replicaCovers(status deferredStatus) bool {
	id := status.group.JobID
	if l.core.hasEnded(id) {
		return true
	}
	if !l.core.replica.reflects(status.revision) {
		return false
	}
	if l.core.jobs[id] == nil && l.core.replica.reloading {
		return false
	}
	return !l.core.dependencies.lookUpTransitive(id)
}

// resolveFromReplica answers requests for a job with the state that the replica shows. A job that the
// replica lacks may have ended after its state was read, so its state is read again. If it has no final
// state even then, it was active at the replica's revision, and the replica does not hold such jobs,
// for example because their team is no longer in the settings.
func (l *lookupController) resolveFromReplica(group lookup.Group) {
	ended := l.core.hasEnded(group.JobID)
	switch {
	case !ended && l.core.jobs[group.JobID] == nil:
		l.fetchFinalState(group, l.resolveWithProgress)
	case !ended:
		l.resolveWithProgress(group)
	default:
		for _, request := range group.Requests {
			l.request(request.JobID, request.Resolve)
		}
	}
}
