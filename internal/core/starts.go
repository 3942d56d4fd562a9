package core

import (
	"pepperlever/internal/core/job"
)

// The leader of a job asks the controller of a machine to start a task there, once, after the
// binding is stored. That controller forwards the start to the machine's agent or refuses it
// for good.

// sendStarts sends the starts of bindings that the store now holds. A gang's tasks start
// together, once all of them are stored.
func (r *reconciler) sendStarts(j *job.Job) {
	if j.Cancelled || j.Kind == job.Gang && !allStored(j) {
		return
	}
	for i, b := range ordered(j.Bound) {
		if b.Stored && !b.Sent && !b.Stopping {
			r.sendStart(j, i, b)
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
func (r *reconciler) sendStart(j *job.Job, i int, b *job.Binding) {
	b.Sent, b.Since = true, r.now.Steady
	m := r.core.machines.Get(b.Machine)
	if m == nil {
		return
	}
	if m.GrantedToken != b.Token || m.Session != b.Epoch {
		// It would be refused, but the controller that had the machine may start it by what
		// the store shows meanwhile: only a report resolves it.
		r.reconcileBinding(j, i, b, m)
		return
	}
	r.log(Debug, "start sent", "task", j.TaskID(i), "attempt", b.Attempt, "machine", b.Machine)
	r.core.sendTo(m.Node, PeerMessage{Start: &Start{
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
func (r *reconciler) handleRefusal(refusal Refusal) {
	id, i, ok := job.ParseTaskID(refusal.Task)
	j := r.core.jobs[id]
	if !ok || j == nil || !r.core.leads(j) {
		return
	}
	b := j.Bound[i]
	if b == nil || !b.Stored || b.Attempt != refusal.Attempt || b.Machine != refusal.Machine {
		return
	}
	r.log(Debug, "start refusal received", "task", refusal.Task, "machine", refusal.Machine)
	if m := r.core.machines.Get(refusal.Machine); m != nil {
		m.FullAt = r.now.Steady // not again before something has changed
	}
	r.core.unbind(j, i)
}
