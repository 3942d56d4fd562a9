package core

import (
	"pepperlever/internal/core/job"
)

// After a binding is stored, the leader of the job asks the controller of the machine exactly once
// to start the task. That controller either forwards the start to the machine's worker or refuses
// it permanently.

// sendStarts sends the start commands for a job's stored bindings. The tasks of a gang start
// together, once all their bindings are stored.
func (r *reconciler) sendStarts(j *job.Job) {
	if j.Cancelled || j.Kind == job.Gang && !allBindingsStored(j) {
		return
	}
	for i, b := range ordered(j.Bound) {
		if b.Stored && !b.Sent && !b.Stopping {
			r.sendStart(j, i, b)
		}
	}
}

func allBindingsStored(j *job.Job) bool {
	for _, b := range j.Bound {
		if !b.Stored {
			return false
		}
	}
	return true
}

// sendStart sends one start command to the controller of its machine, unless the machine is unknown
// or its token or epoch has changed since the task was bound to it. The binding counts as sent in
// any case.
func (r *reconciler) sendStart(j *job.Job, i int, b *job.Binding) {
	b.Sent, b.Since = true, r.now.Steady
	m := r.core.machines.Get(b.Machine)
	if m == nil {
		return
	}
	if m.GrantedToken != b.Token || m.WorkerEpoch != b.Epoch {
		// The start would be refused, but the machine's former controller may start the task
		// after seeing the binding in the store, so only a report can resolve the binding.
		r.reconcileBinding(j, i, b, m)
		return
	}
	r.log(Debug, "start sent", "task", j.TaskID(i), "attempt", b.Attempt, "machine", b.Machine)
	start := startOf(j, i, b, j.Version)
	r.core.sendTo(m.Node, PeerMessage{Start: &start})
}

// startOf returns the request to start task i, whose binding exists at a store revision.
func startOf(j *job.Job, i int, b *job.Binding, revision uint64) Start {
	return Start{
		Machine:  b.Machine,
		Task:     j.TaskID(i),
		Attempt:  b.Attempt,
		Token:    b.Token,
		Epoch:    b.Epoch,
		Need:     j.Need,
		Revision: revision,
	}
}

// handleRefusal removes a binding whose start command was refused: the command was not forwarded to
// the worker and never will be.
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
		m.LastRefusedAt = r.now.Steady // excludes the machine from placement for a short time
	}
	r.core.unbind(j, i)
}
