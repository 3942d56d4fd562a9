package core

import (
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// deferredStatus is the answer to requests for the state of a job of which the store has said
// that it has no final state as of a revision. A cancellation that the replica does not show
// yet may have ended it all the same.
type deferredStatus struct {
	group    lookup.Group
	revision uint64
}

// resolveActive answers requests for a job that has no final state as of a revision, at once
// where nothing else can have ended it.
func (c *Core) resolveActive(group lookup.Group, revision uint64) {
	j := c.jobs[group.JobID]
	if j != nil && !j.Cancelled && !c.dependencies.graph.Waits(group.JobID) {
		c.resolveWithProgress(group)
		return
	}
	c.dependencies.deferStatus(deferredStatus{group, revision})
}

func (c *Core) resolveWithProgress(group lookup.Group) {
	group.ResolveAll(lookup.Result{Outcome: lookup.Active, State: c.jobProgress(group.JobID)})
}

// answerDeferredStatus answers the requests whose revision the replica has reached, and turns
// away those whose users will not wait any longer.
func (c *Core) answerDeferredStatus() {
	for _, status := range c.dependencies.takeDeferred() {
		switch {
		case lookup.Expired(status.group.Requests[0], c.now.Steady):
			status.group.ResolveUnavailable()
		case !c.replicaCovers(status):
			c.dependencies.deferStatus(status)
		default:
			c.resolveFromReplica(status.group)
		}
	}
}

// replicaCovers tells whether the replica shows all that may have cancelled a job up to the
// revision of its read.
func (c *Core) replicaCovers(status deferredStatus) bool {
	id := status.group.JobID
	if c.hasEnded(id) {
		return true
	}
	if !c.replica.shows(status.revision) {
		return false
	}
	if c.jobs[id] == nil && c.dependencies.reloading {
		return false
	}
	return !c.lookUpDependencies(c.dependencies.graph.Upstream(id))
}

// resolveFromReplica answers by what the replica shows.
func (c *Core) resolveFromReplica(group lookup.Group) {
	if !c.hasEnded(group.JobID) {
		c.resolveWithProgress(group)
		return
	}
	for _, request := range group.Requests {
		c.lookUp(request.JobID, request.Resolve)
	}
}

// hasEnded tells whether a job is known to have ended, by its own final state or by a
// cancellation that is not stored with it yet.
func (c *Core) hasEnded(id string) bool {
	if j := c.jobs[id]; j != nil && j.Cancelled {
		c.rememberFinalState(id, protocol.JobState{ID: id, State: protocol.Cancelled})
	}
	return c.ended.has(id)
}
