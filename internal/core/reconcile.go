package core

import (
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// reconcileMachine weighs the newest report of a machine against the bindings on
// it, and has tasks that nobody wants stopped and forgotten.
func (c *Core) reconcileMachine(m *worker.Machine) {
	for _, t := range m.Tasks {
		id, i, ok := job.SplitTask(t.Task)
		if !ok {
			continue
		}
		j := c.jobs[id]
		if j == nil {
			c.handleOrphanTask(m, t, id)
			continue
		}
		c.recordImage(m, j, t)
		if t.State == protocol.Running && !j.Begun {
			j.Begun = true
			c.stats.Start(j.ID)
		}
		if j.Cancelled && t.State != protocol.Exited && m.Node == c.cfg.Node {
			c.stopOrForgetTask(m, t)
			continue
		}
		if !c.leads(j) {
			continue
		}
		if b := j.Bound[i]; b == nil || b.Attempt != t.Attempt || b.Machine != m.Machine {
			c.handleStaleAttempt(j, m, t)
		}
	}
	changed := func(ref job.Ref, b *job.Binding) bool {
		evidence, t := m.Evidence(ref.Job.TaskID(ref.Index), b)
		if evidence == worker.Present {
			b.State = t.State
		}
		return evidence != worker.Present
	}
	c.eachLedBinding(m.Machine, changed, func(j *job.Job, i int, b *job.Binding) { c.reconcileBinding(j, i, b, m) })
}

// eachLedBinding visits the stored bindings on a machine that concern f and whose jobs
// this node holds, in order. f may end them.
func (c *Core) eachLedBinding(machine string, concerns func(job.Ref, *job.Binding) bool, f func(*job.Job, int, *job.Binding)) {
	c.eachBindingOn(machine, func(ref job.Ref, b *job.Binding) bool { return c.leads(ref.Job) && concerns(ref, b) }, f)
}

// eachBindingOn visits the stored bindings on a machine that concern f, in order.
func (c *Core) eachBindingOn(machine string, concerns func(job.Ref, *job.Binding) bool, f func(*job.Job, int, *job.Binding)) {
	load := c.machines.Load(machine)
	if load == nil {
		return
	}
	var refs []job.Ref
	for ref, b := range load.Tasks {
		if b.Stored && concerns(ref, b) {
			refs = append(refs, ref)
		}
	}
	slices.SortFunc(refs, job.CompareRefs)
	for _, ref := range refs {
		f(ref.Job, ref.Index, load.Tasks[ref])
	}
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
		c.taskEnded(j, i, b, m, t)
	}
}

// taskEnded records a task's end. Its room is free at once; the store learns of it
// before the worker is told to forget the task.
func (c *Core) taskEnded(j *job.Job, i int, b *job.Binding, m *worker.Machine, t protocol.TaskReport) {
	j.Ended = append(j.Ended, job.Exit{Machine: m.Machine, Index: i, Attempt: t.Attempt})
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

// reconcileAll looks at every binding of this node's teams once in a while: what
// stays unproven is fenced, what must go is stopped, and what does not go is
// given back with its machine.
func (c *Core) reconcileAll() {
	c.reapplyRelayEntries()
	for _, t := range c.teams {
		if !t.leading {
			c.stopCancelledJobs(t)
			continue
		}
		for _, j := range ordered(t.jobs) {
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
	}
	c.flushReleases()
}

func (c *Core) checkBinding(j *job.Job, i int, b *job.Binding) {
	if c.cordons[b.Machine].Terminated {
		c.unbind(j, i)
		return
	}
	if j.Cancelled && !b.Sent {
		b.Sent, b.Since = true, c.now.Steady // by the watch of its machine's controller, perhaps
	}
	m := c.machines.Get(b.Machine)
	if c.isSilent(m, b) {
		c.requestReturn(b.Machine, reasonUnknownMachine)
	}
	if m == nil {
		return
	}
	c.reconcileBinding(j, i, b, m)
	if j.Bound[i] != b {
		return
	}
	unproven := b.State == "" || m.Session != b.Session
	if _, there := m.Find(j.TaskID(i), b.Attempt); !there {
		unproven = true
	}
	// The start, its answer or the task's report may be lost. A newer term
	// makes the next report tell for sure.
	if unproven && b.Sent && c.now.Steady-b.Since > c.reportInterval() && c.now.Steady-b.FencedAt > c.reportInterval() {
		b.FencedAt = c.now.Steady
		c.sendTo(m.Node, PeerMessage{Fence: &Fence{Machine: b.Machine, Above: b.Term}})
	}
}

// recordImage remembers that a machine has an image.
func (c *Core) recordImage(m *worker.Machine, j *job.Job, t protocol.TaskReport) {
	m.UseImage(j.Image, j.ImageGB, c.catalog.CacheGB(m.Type), c.now.Steady)
}
