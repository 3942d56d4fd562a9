package core

import "pepperlever/internal/protocol"

// pendingAnswer is the answer to questions on a job of which the state service has said, at
// a revision, that it has no final state. A cancellation that the replica does not show yet
// may have ended it all the same.
type pendingAnswer struct {
	id       string
	asked    []pendingLookup
	revision uint64
}

// tellActive answers questions on a job that has no final state at a revision, at once
// where nothing else can have ended it.
func (c *Core) tellActive(id string, qs []pendingLookup, revision uint64) {
	if j := c.jobs[id]; j != nil && !j.Cancelled && !c.dependencies.graph.Waits(id) {
		resolveAll(qs, lookupActive, c.jobProgress(id))
		return
	}
	c.dependencies.pending = append(c.dependencies.pending, pendingAnswer{id, qs, revision})
}

// answerPendingStatus answers the questions whose revision the replica has reached, and turns away
// those whose users will not wait any longer.
func (c *Core) answerPendingStatus() {
	waiting := c.dependencies.pending
	c.dependencies.pending = nil
	for _, p := range waiting {
		switch {
		case c.now.Steady-p.asked[0].since > protocol.PollTimeout/2:
			resolveAll(p.asked, lookupUnavailable, protocol.JobState{})
		case !c.replicaTells(p):
			c.dependencies.pending = append(c.dependencies.pending, p)
		default:
			c.answerNow(p)
		}
	}
}

// replicaTells tells whether the replica shows all that may have cancelled a job up to the
// revision of its check.
func (c *Core) replicaTells(p pendingAnswer) bool {
	if c.hasEnded(p.id) {
		return true
	}
	if c.revision < p.revision || c.jobs[p.id] == nil && c.dependencies.reloading {
		return false
	}
	return !c.lookUpDependencies(c.dependencies.graph.Upstream(p.id))
}

// answerNow answers by what the replica shows.
func (c *Core) answerNow(p pendingAnswer) {
	if !c.hasEnded(p.id) {
		resolveAll(p.asked, lookupActive, c.jobProgress(p.id))
		return
	}
	for _, q := range p.asked {
		c.lookUp(p.id, q.resolve)
	}
}
