package core

import (
	"slices"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// sendStarts sends the starts of bindings that the store now holds. A gang's
// start together, once all of them are stored.
func (c *Core) sendStarts(j *job.Job) {
	if j.Cancelled {
		return
	}
	if j.Kind == job.Gang {
		for _, b := range j.Bound {
			if !b.Stored {
				return
			}
		}
	}
	for i, b := range ordered(j.Bound) {
		if !b.Stored || b.Sent || b.Stopping {
			continue
		}
		b.Sent, b.Since = true, c.now.Steady
		m := c.machines.Get(b.Machine)
		if m == nil || m.GrantedToken != b.Term || m.Session != b.Session {
			// It would be refused, but the controller that had the machine may start
			// it by its own watch meanwhile: only evidence settles it.
			if m != nil {
				c.reconcileBinding(j, i, b, m)
			}
			continue
		}
		c.log(Debug, "start sent", "task", j.TaskID(i), "attempt", b.Attempt, "machine", b.Machine)
		c.sendTo(m.Node, PeerMessage{Start: &Start{Machine: b.Machine, Task: j.TaskID(i), Attempt: b.Attempt,
			Token: b.Term, Epoch: b.Session, Need: j.Need, Revision: j.Version}})
	}
}

// handleRefusal ends a binding whose start was never forwarded and never will be.
func (c *Core) handleRefusal(r Refusal) {
	id, i, ok := job.SplitTask(r.Task)
	j := c.jobs[id]
	if !ok || j == nil || !c.leads(j) {
		return
	}
	if b := j.Bound[i]; b != nil && b.Stored && b.Attempt == r.Attempt && b.Machine == r.Machine {
		c.log(Debug, "start was refused", "task", r.Task, "machine", r.Machine)
		if m := c.machines.Get(r.Machine); m != nil {
			m.FullAt = c.now.Steady // not again before something has changed
		}
		c.unbind(j, i)
	}
}

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

// handleStaleAttempt deals with a reported task that no binding stands for. It can be
// forgotten once the store holds what became of it. An attempt later than this
// home has stored is another home's: this one has been deposed and was not told
// yet, since the state service is out of its reach. It used to stop whatever the
// new home started.
func (c *Core) handleStaleAttempt(j *job.Job, m *worker.Machine, t protocol.TaskReport) {
	if t.Attempt > j.StoredAttempt {
		return
	}
	if t.State != protocol.Exited || !j.Dirty() && !j.InFlight {
		c.stopOrForgetTask(m, t)
	}
}

// forgetEndedTasks has exited tasks forgotten whose end a store write has recorded.
func (c *Core) forgetEndedTasks(j *job.Job, exits []job.Exit) {
	for _, e := range exits {
		m := c.machines.Get(e.Machine)
		if m == nil {
			continue
		}
		t, there := m.Find(j.TaskID(e.Index), e.Attempt)
		if b := j.Bound[e.Index]; there && t.State == protocol.Exited && (b == nil || b.Attempt != e.Attempt) {
			c.stopOrForgetTask(m, t)
		}
	}
}

// stopOrForgetTask has a task forgotten by its worker if it has exited, or else stopped.
func (c *Core) stopOrForgetTask(m *worker.Machine, t protocol.TaskReport) {
	cmd := protocol.Command{Op: protocol.OpForget, Task: t.Task, Attempt: t.Attempt}
	if t.State != protocol.Exited {
		cmd = protocol.Command{Op: protocol.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: new(float64)}
	}
	c.sendTo(m.Node, PeerMessage{Command: &TaskCommand{Machine: m.Machine, Command: cmd}})
}

// handleOrphanTask deals with a task of a job that is not known as active: only the
// machine's controller acts, and only once the store says the job is final.
func (c *Core) handleOrphanTask(m *worker.Machine, t protocol.TaskReport, id string) {
	if m.Node != c.cfg.Node {
		return
	}
	if _, final := c.finalStates[id]; !final {
		if c.scheduler.asked[id] {
			return
		}
		c.scheduler.asked[id] = true
		c.lookUp(id, func(lookup.Result) { delete(c.scheduler.asked, id) })
		return
	}
	c.stopOrForgetTask(m, t)
}

// onCordonPut notes that a machine takes no bindings; if it is gone for good, that
// ends every binding on it.
func (c *Core) onCordonPut(machine string, k cordonRecord) {
	if old, ok := c.cordons[machine]; ok && old.version >= k.version {
		return
	}
	k.since = c.now.Steady
	c.cordons[machine] = k
	c.requestRound()
	c.expediteExits(machine)
	if !k.Terminated {
		return
	}
	c.removeMachine(machine)
	all := func(job.Ref, *job.Binding) bool { return true }
	c.eachLedBinding(machine, all, func(j *job.Job, i int, _ *job.Binding) {
		c.log(Debug, "task is gone with its machine", "task", j.TaskID(i), "machine", machine)
		c.unbind(j, i)
	})
}

// expediteExits has the ends of tasks on a closing machine stored without delay: it
// can be returned only after that.
func (c *Core) expediteExits(machine string) {
	onMachine := func(e job.Exit) bool { return e.Machine == machine }
	for _, j := range c.jobs {
		if c.leads(j) && slices.ContainsFunc(j.Ended, onMachine) {
			j.Urgent = true
		}
	}
}

// reconcileAll looks at every binding of this node's teams once in a while: what
// stays unproven is fenced, what must go is stopped, and what does not go is
// given back with its machine.
func (c *Core) reconcileAll() {
	c.reapplyRelay()
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

// isSilent tells whether nothing has been heard of a binding's machine for so
// long that the renter has to be asked: a renter that came after its last report
// does not know it. One that was given back by a renter which ended before it
// could say so kept its tasks bound for ever.
func (c *Core) isSilent(m *worker.Machine, b *job.Binding) bool {
	if m == nil {
		return c.now.Steady-b.Since > c.silenceLimit()
	}
	return c.now.Steady-max(m.LastContact, b.Since) > 2*c.silenceLimit() && c.knowsAllMachines()
}

// silenceLimit is how long a machine may say nothing before it is given up: a
// report may be late or lost, and a worker needs a time-out and a pause for
// each node that it tries in vain.
func (c *Core) silenceLimit() time.Duration {
	missing := c.members.missing()
	return 2*c.reportInterval() + time.Duration(1+missing)*(protocol.ReportTimeout+protocol.ReportPause)
}

// stopTask asks for a task to end, with grace to save, and repeats it until a
// report shows the end.
func (c *Core) stopTask(j *job.Job, i int, b *job.Binding, grace float64) {
	if b.Stopping && c.now.Steady-b.StopSent < c.reportInterval() {
		return
	}
	b.Stopping, b.StopSent = true, c.now.Steady
	c.sendStop(j, i, b, grace)
}

// sendStop sends one order to stop a task, whoever is the home of its team.
func (c *Core) sendStop(j *job.Job, i int, b *job.Binding, grace float64) {
	if m := c.machines.Get(b.Machine); m != nil {
		cmd := protocol.Command{Op: protocol.OpStop, Task: j.TaskID(i), Attempt: b.Attempt, GraceS: &grace}
		c.sendTo(m.Node, PeerMessage{Command: &TaskCommand{Machine: b.Machine, Command: cmd}})
	}
}

// evictBeforeReclaim stops tasks that can save before their machine is taken away, and the
// rest of a gang that has lost a task: it starts again whole. A gang is stopped
// as one, so that its progress is saved.
func (c *Core) evictBeforeReclaim(j *job.Job) {
	whole := j.Kind == job.Gang && j.Waiting() > 0 && j.Done.Len() == 0
	if j.Kind == job.Gang {
		for _, b := range j.Bound {
			whole = whole || c.mustSaveNow(j, b)
		}
	}
	for i, b := range ordered(j.Bound) {
		if b.Sent && (whole || c.mustSaveNow(j, b) || c.finishesTooLate(j, i, b)) {
			c.stopTask(j, i, b, j.SaveS)
		}
	}
}

// finishesTooLate tells whether a task that can't save will hardly end before its
// machine is taken away, so that it had better start elsewhere at once. Owners'
// estimates are often wrong by half.
func (c *Core) finishesTooLate(j *job.Job, i int, b *job.Binding) bool {
	m := c.machines.Get(b.Machine)
	if m == nil || m.ReclaimAt == 0 || j.CheckpointS > 0 || j.Kind != job.Array {
		return false
	}
	ran := m.RunningTime(j.TaskID(i), b.Attempt, c.now.Steady)
	return seconds(j.EstimateS)-ran > 2*(m.ReclaimAt-c.now.Steady)
}

// mustSaveNow tells whether a task's machine is about to be taken away, with just
// enough time left to save.
func (c *Core) mustSaveNow(j *job.Job, b *job.Binding) bool {
	m := c.machines.Get(b.Machine)
	return m != nil && m.ReclaimAt > 0 && j.CheckpointS > 0 &&
		m.ReclaimAt-c.now.Steady < seconds(j.SaveS)+2*c.reportInterval()
}

// recordImage remembers that a machine has an image.
func (c *Core) recordImage(m *worker.Machine, j *job.Job, t protocol.TaskReport) {
	m.UseImage(j.Image, j.ImageGB, c.catalog.CacheGB(m.Type), c.now.Steady)
}
