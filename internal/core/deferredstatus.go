package core

import "pepperlever/internal/core/lookup"

// deferredStatus is the answer to requests for the state of a job of which the store has said
// that it has no final state as of a revision. A cancellation that the replica does not show
// yet may have ended it all the same.
type deferredStatus struct {
	group    lookup.Group
	revision uint64
}

// resolveActive answers requests for a job that has no final state as of a revision, at once
// where nothing else can have ended it.
func (l *lookupController) resolveActive(group lookup.Group, revision uint64) {
	j := l.core.jobs[group.JobID]
	if j != nil && !j.Cancelled && !l.core.dependencies.Waits(group.JobID) {
		l.resolveWithProgress(group)
		return
	}
	l.deferred = append(l.deferred, deferredStatus{group, revision})
}

func (l *lookupController) resolveWithProgress(group lookup.Group) {
	group.ResolveAll(lookup.Result{Outcome: lookup.Active, State: l.core.jobProgress(group.JobID)})
}

// answerDeferred answers the requests whose revision the replica has reached, and turns
// away those whose users will not wait any longer.
func (l *lookupController) answerDeferred() {
	waiting := l.deferred
	l.deferred = nil
	for _, status := range waiting {
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

// replicaCovers tells whether the replica shows all that may have cancelled a job up to the
// revision of its read.
func (l *lookupController) replicaCovers(status deferredStatus) bool {
	id := status.group.JobID
	if l.core.hasEnded(id) {
		return true
	}
	if !l.core.replica.shows(status.revision) {
		return false
	}
	if l.core.jobs[id] == nil && l.core.replica.reloading {
		return false
	}
	return !l.core.dependencies.lookUpUpstream(id)
}

// resolveFromReplica answers by what the replica shows.
func (l *lookupController) resolveFromReplica(group lookup.Group) {
	if !l.core.hasEnded(group.JobID) {
		l.resolveWithProgress(group)
		return
	}
	for _, request := range group.Requests {
		l.request(request.JobID, request.Resolve)
	}
}
