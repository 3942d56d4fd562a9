package core

import (
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
)

// evictBeforeReclaim stops tasks in time for them to save a checkpoint before their machine is
// reclaimed. It also stops tasks of array jobs without checkpoints that are unlikely to be done by
// then. A gang that has lost a task, or is about to, is stopped as a whole, so that its progress is
// saved, and starts again as a whole.
func (r *reconciler) evictBeforeReclaim(j *job.Job) {
	checker := reclaimChecker{machines: r.core.machines, now: r.now.Steady, reportInterval: r.reportInterval()}
	stopAll := j.Kind == job.Gang && checker.mustRestartGang(j)
	for i, b := range ordered(j.Bound) {
		if b.Sent && (stopAll || checker.mustCheckpointNow(j, b) || checker.mustRestartElsewhere(j, i, b)) {
			r.stopTask(j, i, b, j.SaveS)
		}
	}
}

// reclaimChecker decides which tasks have to stop because the cloud has announced that it will
// reclaim their machines.
type reclaimChecker struct {
	machines       *worker.Registry
	now            time.Duration
	reportInterval time.Duration
}

// mustRestartGang reports whether a gang has lost a task or is about to lose one.
func (c reclaimChecker) mustRestartGang(j *job.Job) bool {
	if j.PendingTasks() > 0 && j.Done.Len() == 0 {
		return true
	}
	for _, b := range j.Bound {
		if c.mustCheckpointNow(j, b) {
			return true
		}
	}
	return false
}

// estimateTolerance is the factor by which users' run time estimates may be wrong.
const estimateTolerance = 2

// mustRestartElsewhere reports whether a task of an array job without checkpoints is unlikely to be
// done before its machine is reclaimed, so that it should restart elsewhere immediately.
func (c reclaimChecker) mustRestartElsewhere(j *job.Job, i int, b *job.Binding) bool {
	m := c.machines.Get(b.Machine)
	if m == nil || m.ReclaimAt == 0 || j.CheckpointS > 0 || j.Kind != job.Array {
		return false
	}
	ran := m.RunningTime(j.TaskID(i), b.Attempt, c.now)
	return seconds(j.EstimateS)-ran > estimateTolerance*(m.ReclaimAt-c.now)
}

// mustCheckpointNow reports whether a task's machine will be reclaimed so soon that the task must save
// a checkpoint now.
func (c reclaimChecker) mustCheckpointNow(j *job.Job, b *job.Binding) bool {
	m := c.machines.Get(b.Machine)
	if m == nil || m.ReclaimAt <= 0 || j.CheckpointS <= 0 {
		return false
	}
	return m.ReclaimAt-c.now < seconds(j.SaveS)+2*c.reportInterval
}
