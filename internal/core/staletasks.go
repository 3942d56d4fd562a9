package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// handleStaleAttempt handles a reported task attempt that has no binding. An attempt that runs is
// stopped. One that has exited can be forgotten by the worker once its outcome is stored. An attempt
// later than any that this leader has stored is left alone, because it is another leader's: this node
// has lost its leadership, but does not know that because it can't reach the store.
func (r *reconciler) handleStaleAttempt(j *job.Job, m *worker.Machine, t protocol.TaskReport) {
	if t.Attempt > j.StoredAttempt {
		return
	}
	isStored := !j.Dirty() && !j.InFlight
	if t.State != protocol.Exited || isStored {
		r.stopOrForgetTask(m, t)
	}
}

// handleOrphanTask handles a task whose job is not known to be active. Only the machine's controller
// acts on it, and only once it knows that the job has ended. Until then it looks up the job's state,
// and a later report of the task is handled with the result.
func (r *reconciler) handleOrphanTask(m *worker.Machine, t protocol.TaskReport, id string) {
	if m.Node != r.cfg.Node {
		return
	}
	if r.core.ended.has(id) {
		r.stopOrForgetTask(m, t)
		return
	}
	if r.orphanLookups[id] {
		return
	}
	r.orphanLookups[id] = true
	r.core.lookups.request(id, func(lookup.Result) { delete(r.orphanLookups, id) })
}

// forgetEndedTasks commands workers to forget exited tasks whose end is stored.
func (r *reconciler) forgetEndedTasks(j *job.Job, exits []job.Exit) {
	for _, exit := range exits {
		m := r.core.machines.Get(exit.Machine)
		if m == nil {
			continue
		}
		t, reported := m.Find(j.TaskID(exit.Index), exit.Attempt)
		if !reported || t.State != protocol.Exited {
			continue
		}
		m.RecordEvent(worker.EndStored, t.Task, t.Attempt, r.now.Steady)
		if b := j.Bound[exit.Index]; b == nil || b.Attempt != exit.Attempt {
			r.stopOrForgetTask(m, t)
		}
	}
}
