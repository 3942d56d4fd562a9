package core

import (
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
)

// evictBeforeReclaim stops tasks that can save before their machine is taken away, and the
// rest of a gang that has lost a task: it starts again whole. A gang is stopped as one, so that
// its progress is saved.
func (r *reconciler) evictBeforeReclaim(j *job.Job) {
	notices := reclaimNotices{machines: r.core.machines, now: r.now.Steady, reportInterval: r.reportInterval()}
	stopAll := j.Kind == job.Gang && notices.mustRestartGang(j)
	for i, b := range ordered(j.Bound) {
		if b.Sent && (stopAll || notices.mustSaveNow(j, b) || notices.finishesTooLate(j, i, b)) {
			r.stopTask(j, i, b, j.SaveS)
		}
	}
}

// reclaimNotices tells what follows for tasks from the notices that the cloud has given of
// machines that it takes away.
type reclaimNotices struct {
	machines       *worker.Registry
	now            time.Duration
	reportInterval time.Duration
}

// mustRestartGang tells whether a gang has lost a task or is about to lose one.
func (n reclaimNotices) mustRestartGang(j *job.Job) bool {
	if j.PendingTasks() > 0 && j.Done.Len() == 0 {
		return true
	}
	for _, b := range j.Bound {
		if n.mustSaveNow(j, b) {
			return true
		}
	}
	return false
}

// estimateTolerance is the factor by which owners' estimates of the time that a task takes may
// be wrong.
const estimateTolerance = 2

// finishesTooLate tells whether a task that can't save will hardly end before its machine is
// taken away, so that it had better start elsewhere at once.
func (n reclaimNotices) finishesTooLate(j *job.Job, i int, b *job.Binding) bool {
	m := n.machines.Get(b.Machine)
	if m == nil || m.ReclaimAt == 0 || j.CheckpointS > 0 || j.Kind != job.Array {
		return false
	}
	ran := m.RunningTime(j.TaskID(i), b.Attempt, n.now)
	return seconds(j.EstimateS)-ran > estimateTolerance*(m.ReclaimAt-n.now)
}

// mustSaveNow tells whether a task's machine is about to be taken away, with just enough time
// left to save.
func (n reclaimNotices) mustSaveNow(j *job.Job, b *job.Binding) bool {
	m := n.machines.Get(b.Machine)
	if m == nil || m.ReclaimAt <= 0 || j.CheckpointS <= 0 {
		return false
	}
	return m.ReclaimAt-n.now < seconds(j.SaveS)+2*n.reportInterval
}
