package core

import "pepperlever/internal/core/lookup"

// deferredStatus is a deferred answer to requests for the state of a job that, according to the
// store, has no final state as of a revision. The job may still have been cancelled because a
// dependency was, which the replica shows only once it has reached that revision.
type deferredStatus struct {
	group    lookup.Group
	revision uint64
}

// resolveActive answers requests for a job that has no final state as of a revision: immediately if
// nothing else can have ended it, or else once the replica has reached the revision.
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

// answerDeferred answers the requests whose revision the replica has reached and fails those
// whose users are about to time out.
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

// replicaCovers reports whether the replica shows every cancellation that may have ended a job up
// to the revision at which its state was read.
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

// resolveFromReplica answers requests for a job with the state that the replica shows.
func (l *lookupController) resolveFromReplica(group lookup.Group) {
	if !l.core.hasEnded(group.JobID) {
		l.resolveWithProgress(group)
		return
	}
	for _, request := range group.Requests {
		l.request(request.JobID, request.Resolve)
	}
}
