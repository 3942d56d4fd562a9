package core

import (
	"pepperlever/internal/core/job"
)

// The leader of a job asks the controller of a machine to start a task there, once, after the
// binding is stored. That controller forwards the start to the machine's agent or refuses it
// for good.

// sendStarts sends the starts of bindings that the store now holds. A gang's tasks start
// together, once all of them are stored.
func (c *Core) sendStarts(j *job.Job) {
	if j.Cancelled || j.Kind == job.Gang && !allStored(j) {
		return
	}
	for i, b := range ordered(j.Bound) {
		if b.Stored && !b.Sent && !b.Stopping {
			c.sendStart(j, i, b)
		}
	}
}

func allStored(j *job.Job) bool {
	for _, b := range j.Bound {
		if !b.Stored {
			return false
		}
	}
	return true
}

// sendStart sends one start to the controller of its machine, unless the machine has moved
// on since the task was bound to it.
func (c *Core) sendStart(j *job.Job, i int, b *job.Binding) {
	b.Sent, b.Since = true, c.now.Steady
	m := c.machines.Get(b.Machine)
	if m == nil {
		return
	}
	if m.GrantedToken != b.Token || m.Session != b.Epoch {
		// It would be refused, but the controller that had the machine may start it by what
		// the store shows meanwhile: only a report resolves it.
		c.reconcileBinding(j, i, b, m)
		return
	}
	c.log(Debug, "start sent", "task", j.TaskID(i), "attempt", b.Attempt, "machine", b.Machine)
	c.sendTo(m.Node, PeerMessage{Start: &Start{
		Machine:  b.Machine,
		Task:     j.TaskID(i),
		Attempt:  b.Attempt,
		Token:    b.Token,
		Epoch:    b.Epoch,
		Need:     j.Need,
		Revision: j.Version,
	}})
}

// handleRefusal ends a binding whose start was never forwarded and never will be.
func (c *Core) handleRefusal(r Refusal) {
	id, i, ok := job.ParseTaskID(r.Task)
	j := c.jobs[id]
	if !ok || j == nil || !c.leads(j) {
		return
	}
	b := j.Bound[i]
	if b == nil || !b.Stored || b.Attempt != r.Attempt || b.Machine != r.Machine {
		return
	}
	c.log(Debug, "start was refused", "task", r.Task, "machine", r.Machine)
	if m := c.machines.Get(r.Machine); m != nil {
		m.FullAt = c.now.Steady // not again before something has changed
	}
	c.unbind(j, i)
}
