package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// handleStaleAttempt deals with a reported task that no binding stands for. It can be
// forgotten once the store holds what became of it. An attempt later than this leader has
// stored is another leader's: this node has lost the leadership and could not be told yet,
// since the store is out of its reach.
func (r *reconciler) handleStaleAttempt(j *job.Job, m *worker.Machine, t protocol.TaskReport) {
	if t.Attempt > j.StoredAttempt {
		return
	}
	isStored := !j.Dirty() && !j.InFlight
	if t.State != protocol.Exited || isStored {
		r.stopOrForgetTask(m, t)
	}
}

// handleOrphanTask deals with a task of a job that is not known as active: only the machine's
// controller acts, and only once the store says that the job is final.
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

// forgetEndedTasks has exited tasks forgotten whose end a store write has recorded.
func (r *reconciler) forgetEndedTasks(j *job.Job, exits []job.Exit) {
	for _, exit := range exits {
		m := r.core.machines.Get(exit.Machine)
		if m == nil {
			continue
		}
		t, reported := m.Find(j.TaskID(exit.Index), exit.Attempt)
		b := j.Bound[exit.Index]
		isBound := b != nil && b.Attempt == exit.Attempt
		if reported && t.State == protocol.Exited && !isBound {
			r.stopOrForgetTask(m, t)
		}
	}
}
