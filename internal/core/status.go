package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// status responds to a request for the state of a job. Only a final state may come from memory, since
// it never changes; any other requires a read that begins after the request.
func (c *Core) status(m Status) {
	if !job.ValidID(m.ID) {
		c.replyRejected(m.Req, errUnknownJob)
		return
	}
	c.lookups.request(m.ID, func(result lookup.Result) {
		c.stats.RecordQuery(m.ID, result.Outcome != lookup.Unavailable, c.now.Steady)
		c.replyLookup(m.Req, result)
	})
}

// jobProgress returns the state and progress of a job without a final state.
func (c *Core) jobProgress(id string) protocol.JobState {
	state := protocol.JobState{ID: id, State: protocol.Queued, Awaits: c.dependencies.PendingDependencies(id)}
	if c.isOutgoing(id) {
		progress := c.handoffs.progressOf(id)
		state.Done, state.Running = progress.Done, progress.Running
	} else if j := c.jobs[id]; j != nil {
		state.Done, state.Running = min(j.Done.Len(), j.Tasks-1), c.runningTasks(j)
	}
	if state.Running > 0 {
		state.State = protocol.Running
	}
	return state
}

// runningTasks returns the number of running tasks of a job. The count may be slightly out of date:
// it is cached because users poll often, and only serves for display.
func (c *Core) runningTasks(j *job.Job) int {
	if j.CountedAt > 0 && c.now.Steady-j.CountedAt < c.reportInterval()/6 {
		return j.Running
	}
	running := 0
	for i, b := range j.Bound {
		m := c.machines.Get(b.Machine)
		if m == nil {
			continue
		}
		if t, found := m.Find(j.TaskID(i), b.Attempt); found && t.State == protocol.Running {
			running++
		}
	}
	j.Running, j.CountedAt = running, c.now.Steady
	return running
}
