package core

import (
	"slices"
	"time"

	"pepperlever/internal/core/dependency"
	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// dependencyState is what this controller knows of jobs that await others (docs/chains.md).
type dependencyState struct {
	graph *dependency.Graph
	// asking holds the awaited jobs whose state is being read.
	asking map[string]bool
	// inheriting are the jobs that have the urgency of others.
	inheriting []*job.Job
	// pending are the answers that wait for the replica.
	pending []pendingAnswer
	// reloading is set while the replica lacks the jobs of a home that was lost.
	reloading bool
	// next is when the states of awaited jobs are asked for again.
	next time.Duration
}

// trackDependencies takes in which jobs a job awaits, when the replica gets it.
func (c *Core) trackDependencies(j *job.Job) {
	if j.Attempt > 0 || len(j.Awaits) == 0 {
		c.dependencies.graph.Forget(j.ID)
		j.Awaiting = false // nothing is bound before all are done
		return
	}
	if j.WasReady() {
		return
	}
	var open []string
	for _, id := range j.Awaits {
		if c.finalStates[id].State != protocol.Done {
			open = append(open, id)
		}
	}
	c.dependencies.graph.Wait(j.ID, open)
	if len(open) == 0 {
		c.becameReady(j)
		return
	}
	j.Awaiting = true
	if i := slices.IndexFunc(open, c.cancelled); i >= 0 {
		c.cancelDependent(j, open[i])
	}
}

// hasEnded tells whether a job is known to have ended, by its own final state or by a
// cancellation that is not stored with it yet.
func (c *Core) hasEnded(id string) bool {
	if j := c.jobs[id]; j != nil && j.Cancelled {
		c.rememberFinalState(id, protocol.JobState{ID: id, State: protocol.Cancelled})
	}
	_, ended := c.finalStates[id]
	return ended
}

// becameReady lets a job begin whose last awaited job is done.
func (c *Core) becameReady(j *job.Job) {
	j.Ready(c.now.Steady, c.now.Wall)
	c.requestRound()
	c.log(Debug, "job awaits nothing any more", "job", j.ID)
}

// dependencyEnded tells the jobs that wait for a job what has become of it, for good.
func (c *Core) dependencyEnded(id, state string) {
	if state == protocol.Done {
		for _, f := range c.dependencies.graph.Done(id) {
			if j := c.jobs[f]; j != nil {
				c.becameReady(j)
			}
		}
		return
	}
	for _, f := range c.dependencies.graph.Followers(id) {
		c.cancelDependent(c.jobs[f], id)
	}
}

// cancelDependent cancels a job because one that it awaits is cancelled. Nothing of it was ever
// bound. Every controller derives that for itself; the home stores it when it next writes
// the job.
func (c *Core) cancelDependent(j *job.Job, upstream string) {
	if j == nil {
		return
	}
	if !j.Cancelled {
		c.log(Debug, "job is cancelled with one that it awaits", "job", j.ID, "awaited", upstream)
		c.counts.Cascades++
		c.markCancelled(j)
	}
	c.rememberFinalState(j.ID, protocol.JobState{ID: j.ID, State: protocol.Cancelled})
}

// checkDependencies reads what has become of awaited jobs that the replica does not hold: they
// ended before this controller had read the stored state.
func (c *Core) checkDependencies() {
	if !c.every(&c.dependencies.next, c.reportInterval()/6) {
		return
	}
	for _, id := range c.dependencies.graph.Waiting() {
		if j := c.jobs[id]; j != nil && c.leads(j) {
			c.lookUpDependencies(c.dependencies.graph.Awaited(id))
		}
	}
}

// lookUpDependencies reads the states of those jobs that the replica does not hold, and reports
// whether there are any.
func (c *Core) lookUpDependencies(ids []string) (unknown bool) {
	for _, id := range ids {
		if c.jobs[id] != nil {
			continue
		}
		unknown = true
		if c.dependencies.asking[id] || c.dependencies.reloading {
			continue
		}
		c.dependencies.asking[id] = true
		c.lookUp(id, func(f lookupResult, s protocol.JobState) {
			delete(c.dependencies.asking, id)
			if f == lookupFinal {
				c.dependencyEnded(id, s.State)
			}
		})
	}
	return unknown
}

// inheritUrgency lets awaited jobs be as urgent as those that need them.
func (c *Core) inheritUrgency() {
	if !c.dependencies.graph.Changed() {
		return
	}
	for _, j := range c.dependencies.inheriting {
		j.Inherit(nil)
	}
	c.dependencies.inheriting = c.dependencies.inheriting[:0]
	urgencies := c.dependencies.graph.Inherit(func(id string) (dependency.Urgency, int64, bool) {
		j := c.jobs[id]
		if j == nil || j.Cancelled {
			return dependency.Urgency{}, 0, false
		}
		return dependency.Urgency{Priority: j.Priority, LatestStart: j.OwnLatestStart()}, j.Runs(), true
	})
	for id, u := range ordered(urgencies) {
		if j := c.jobs[id]; j != nil {
			j.Inherit(&u)
			c.dependencies.inheriting = append(c.dependencies.inheriting, j)
		}
	}
	c.requestRound()
}
