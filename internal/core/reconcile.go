package core

import (
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// reconcileMachine compares the newest report of a machine with the bindings on it: it has
// tasks that are not wanted stopped and forgotten, and ends the bindings of tasks that are
// proven gone.
func (c *Core) reconcileMachine(m *worker.Machine) {
	for _, t := range m.Tasks {
		c.reconcileTask(m, t)
	}
	hasChanged := func(ref job.TaskRef, b *job.Binding) bool {
		evidence, t := m.Evidence(ref.Job.TaskID(ref.Index), b)
		if evidence == worker.Present {
			b.State = t.State
		}
		return evidence != worker.Present
	}
	c.eachLedBinding(m.Machine, hasChanged, func(j *job.Job, i int, b *job.Binding) {
		c.reconcileBinding(j, i, b, m)
	})
}

// reconcileTask compares one reported task with what is known of its job.
func (c *Core) reconcileTask(m *worker.Machine, t protocol.TaskReport) {
	id, i, ok := job.ParseTaskID(t.Task)
	if !ok {
		return
	}
	j := c.jobs[id]
	if j == nil {
		c.handleOrphanTask(m, t, id)
		return
	}
	m.UseImage(j.Image, j.ImageGB, c.catalog.CacheGB(m.Type), c.now.Steady)
	if t.State == protocol.Running && !j.Started {
		j.Started = true
		c.stats.Start(j.ID)
	}
	if j.Cancelled && t.State != protocol.Exited && m.Node == c.cfg.Node {
		c.stopOrForgetTask(m, t)
		return
	}
	if !c.leads(j) {
		return
	}
	if b := j.Bound[i]; b == nil || b.Attempt != t.Attempt || b.Machine != m.Machine {
		c.handleStaleAttempt(j, m, t)
	}
}

// eachLedBinding visits the stored bindings on a machine that match and whose jobs this node
// leads, in order. The visitor may end them.
func (c *Core) eachLedBinding(machine string, matches worker.BindingFilter, visit worker.BindingVisitor) {
	matchesAndLeads := func(ref job.TaskRef, b *job.Binding) bool {
		return c.leads(ref.Job) && matches(ref, b)
	}
	c.machines.EachStoredBinding(machine, matchesAndLeads, visit)
}

// reconcileBinding applies what the newest report proves about one binding.
func (c *Core) reconcileBinding(j *job.Job, i int, b *job.Binding, m *worker.Machine) {
	evidence, t := m.Evidence(j.TaskID(i), b)
	switch evidence {
	case worker.Present:
		b.State = t.State
	case worker.Absent:
		c.log(Debug, "task is gone", "task", j.TaskID(i), "machine", m.Machine, "was", b.State)
		c.unbind(j, i)
	case worker.Exited:
		c.taskEnded(j, i, m, t)
	}
}

// taskEnded records a task's end. Its room is free at once; the store learns of it before the
// worker is told to forget the task.
func (c *Core) taskEnded(j *job.Job, i int, m *worker.Machine, t protocol.TaskReport) {
	j.UnstoredExits = append(j.UnstoredExits, job.Exit{Machine: m.Machine, Index: i, Attempt: t.Attempt})
	switch t.Why {
	case protocol.WhyDone:
		c.log(Debug, "task done", "task", t.Task, "machine", m.Machine)
		j.Finish(i)
		c.requestRound()
		return
	case protocol.WhyError:
		c.delayCanary(j)
		c.log(Debug, "task failed", "task", t.Task, "machine", m.Machine)
	case protocol.WhyUnknown:
		j.NotBefore = c.now.Steady + c.reportInterval()
	case protocol.WhyNoRoom, protocol.WhyBusy:
		m.FullAt = c.now.Steady
	}
	c.unbind(j, i)
}

// reconcileAll looks at every binding of this node's teams once in a while: what stays
// unproven is fenced, what must go is stopped, and what does not go is returned with its
// machine.
func (c *Core) reconcileAll() {
	c.relay.reapplyEntries()
	for _, t := range c.teams {
		if !t.leading {
			c.stopCancelledJobs(t)
			continue
		}
		for _, j := range ordered(t.jobs) {
			c.reconcileJob(j)
		}
	}
	c.returns.flush()
}

func (c *Core) reconcileJob(j *job.Job) {
	for i, b := range ordered(j.Bound) {
		if b.Stored {
			c.checkBinding(j, i, b)
		}
	}
	if j.Cancelled {
		c.stopCancelled(j)
	} else {
		c.evictBeforeReclaim(j)
	}
}

// checkBinding resolves one binding if that can be done now, and has it resolved soon if not.
func (c *Core) checkBinding(j *job.Job, i int, b *job.Binding) {
	if c.cordons.isTerminated(b.Machine) {
		c.unbind(j, i)
		return
	}
	if j.Cancelled && !b.Sent {
		// The machine's controller may have started it by what the store shows.
		b.Sent, b.Since = true, c.now.Steady
	}
	m := c.machines.Get(b.Machine)
	if c.isSilent(m, b) {
		c.returns.request(b.Machine, reasonUnknownMachine)
	}
	if m == nil {
		return
	}
	c.reconcileBinding(j, i, b, m)
	if j.Bound[i] == b && isFenceDue(m, j.TaskID(i), b, c.now.Steady, c.reportInterval()) {
		b.FencedAt = c.now.Steady
		c.sendTo(m.Node, PeerMessage{Fence: &Fence{Machine: b.Machine, Above: b.Token}})
	}
}

// isFenceDue tells whether a start has gone unreported for so long that the start, its answer
// or the task's report may be lost. Under a newer token the next report is proof.
func isFenceDue(m *worker.Machine, task string, b *job.Binding, now, reportInterval time.Duration) bool {
	_, reported := m.Find(task, b.Attempt)
	if reported && b.State != "" && m.Session == b.Epoch {
		return false
	}
	waited := min(now-b.Since, now-b.FencedAt)
	return b.Sent && waited > reportInterval
}
