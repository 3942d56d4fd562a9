package core

import (
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// reconcileMachine compares the newest report of a machine with the bindings on it. It requests
// that unwanted tasks be stopped or forgotten, and removes the bindings of tasks that have exited or
// that the report proves to be absent.
func (r *reconciler) reconcileMachine(m *worker.Machine) {
	for _, t := range m.Tasks {
		r.reconcileTask(m, t)
	}
	hasChanged := func(ref job.TaskRef, b *job.Binding) bool {
		evidence, t := m.Evidence(ref.Job.TaskID(ref.Index), b)
		if evidence == worker.Present {
			b.State = t.State
		}
		return evidence != worker.Present
	}
	r.eachLedBinding(m.Machine, hasChanged, func(j *job.Job, i int, b *job.Binding) {
		r.reconcileBinding(j, i, b, m)
	})
}

// reconcileTask compares one reported task with the state of its job.
func (r *reconciler) reconcileTask(m *worker.Machine, t protocol.TaskReport) {
	id, i, ok := job.ParseTaskID(t.Task)
	if !ok {
		return
	}
	j := r.core.jobs[id]
	if j == nil {
		r.handleOrphanTask(m, t, id)
		return
	}
	m.UseImage(j.Image, j.ImageGB, r.core.catalog.CacheGB(m.Type), r.now.Steady)
	if t.State == protocol.Running && !j.Started {
		j.Started = true
		r.core.stats.Start(j.ID)
	}
	if j.Cancelled && t.State != protocol.Exited && m.Node == r.cfg.Node {
		r.stopOrForgetTask(m, t)
		return
	}
	if !r.core.leads(j) {
		return
	}
	if b := j.Bound[i]; b == nil || b.Attempt != t.Attempt || b.Machine != m.Machine {
		r.handleStaleAttempt(j, m, t)
	}
}

// eachLedBinding visits, in order, the stored bindings on a machine that match and whose jobs this
// node leads. The visitor may remove them.
func (r *reconciler) eachLedBinding(machine string, matches worker.BindingFilter, visit worker.BindingVisitor) {
	matchesAndLeads := func(ref job.TaskRef, b *job.Binding) bool {
		return r.core.leads(ref.Job) && matches(ref, b)
	}
	r.core.machines.EachStoredBinding(machine, matchesAndLeads, visit)
}

// reconcileBinding updates one binding according to the evidence of the newest report.
func (r *reconciler) reconcileBinding(j *job.Job, i int, b *job.Binding, m *worker.Machine) {
	evidence, t := m.Evidence(j.TaskID(i), b)
	switch evidence {
	case worker.Present:
		b.State = t.State
	case worker.Absent:
		r.log(Debug, "task is absent from its machine", "task", j.TaskID(i), "machine", m.Machine, "state", b.State)
		m.RecordEvent(worker.ProvenAbsent, j.TaskID(i), b.Attempt, r.now.Steady)
		r.core.unbind(j, i)
	case worker.Exited:
		r.taskEnded(j, i, m, t)
	}
}

// taskEnded records the end of a task. Its resources are free immediately. The worker receives the
// command to forget the task only after the end is stored.
func (r *reconciler) taskEnded(j *job.Job, i int, m *worker.Machine, t protocol.TaskReport) {
	j.UnstoredExits = append(j.UnstoredExits, job.Exit{Machine: m.Machine, Index: i, Attempt: t.Attempt})
	switch t.ExitReason {
	case protocol.ExitDone:
		r.log(Debug, "task done", "task", t.Task, "machine", m.Machine)
		j.Finish(i)
		r.core.requestRound()
		return
	case protocol.ExitError:
		r.core.delayCanary(j)
		r.log(Debug, "task failed", "task", t.Task, "machine", m.Machine)
	case protocol.ExitUnknownTask:
		j.NotBefore = r.now.Steady + r.reportInterval()
	case protocol.ExitNoCapacity, protocol.ExitBusy:
		m.LastRefusedAt = r.now.Steady
	}
	r.core.unbind(j, i)
}

// reconcileAll periodically checks every binding of the teams that this node leads. It fences
// bindings that the reports don't resolve, stops tasks that must end, and returns the machines of
// tasks that don't end. For the other teams it only stops the tasks of cancelled jobs.
func (r *reconciler) reconcileAll() {
	r.core.relay.reapplyEntries()
	for _, t := range r.core.teams {
		if !t.leading {
			r.core.stopCancelledJobs(t)
			continue
		}
		for _, j := range ordered(t.jobs) {
			r.reconcileJob(j)
			r.core.progress.Advance()
		}
	}
	r.core.returnTracker.flush()
}

func (r *reconciler) reconcileJob(j *job.Job) {
	for i, b := range ordered(j.Bound) {
		if b.Stored {
			r.checkBinding(j, i, b)
		}
	}
	if j.Cancelled {
		r.core.stopCancelledTasks(j)
	} else {
		r.evictBeforeReclaim(j)
	}
}

// checkBinding updates one binding if there is evidence of its task. Otherwise, once the report of
// the task's start is overdue, it fences the binding, so that a later report provides the evidence.
// It also requests the return of a machine that has not been heard from for too long.
func (r *reconciler) checkBinding(j *job.Job, i int, b *job.Binding) {
	if r.core.cordons.isTerminated(b.Machine) {
		r.core.unbind(j, i)
		return
	}
	if j.Cancelled && !b.Sent {
		// The machine's controller may have started the task on its own, after seeing the binding
		// in the store.
		b.Sent, b.Since = true, r.now.Steady
	}
	m := r.core.machines.Get(b.Machine)
	if r.isUnresponsive(m, b) {
		r.core.returnTracker.request(b.Machine, reasonUnknownMachine)
	}
	if m == nil {
		return
	}
	r.reconcileBinding(j, i, b, m)
	if j.Bound[i] == b && isFenceDue(m, j.TaskID(i), b, r.now.Steady, r.reportInterval()) {
		b.FencedAt = r.now.Steady
		r.core.sendTo(m.Node, PeerMessage{Fence: &Fence{Machine: b.Machine, Above: b.Token}})
	}
}

// isFenceDue reports whether a bound task has been missing from the machine's reports for so long
// that the start command, its reply or a report may be lost. Once the machine has a newer fencing
// token, its next report proves whether the task is there.
func isFenceDue(m *worker.Machine, task string, b *job.Binding, now, reportInterval time.Duration) bool {
	_, reported := m.Find(task, b.Attempt)
	if reported && b.State != "" && m.WorkerEpoch == b.Epoch {
		return false
	}
	waited := min(now-b.Since, now-b.FencedAt)
	return b.Sent && waited > reportInterval
}

// isUnresponsive reports whether a binding's machine has not been heard from for so long that the
// autoscaler must decide whether to return it. The machine is nil if this node does not know it,
// for example because no report of the machine has arrived since this node started.
func (r *reconciler) isUnresponsive(m *worker.Machine, b *job.Binding) bool {
	if m == nil {
		return r.now.Steady-b.Since > r.core.silenceTimeout()
	}
	lastContact := max(m.LastContact, b.Since)
	return r.now.Steady-lastContact > 2*r.core.silenceTimeout() && r.core.knowsMachinesOfAllControllers()
}
