package job

import (
	"time"

	"pepperlever/internal/core/dependency"
)

// defaultPatience is for how many of its run times a job without a deadline may wait.
const defaultPatience = 3

// blocking is what controllers derive from a job's dependencies and from the jobs that depend on
// it. None of it is stored.
type blocking struct {
	// Blocked is set while some dependency is not known to be done. Such a job holds nothing
	// and is given nothing.
	Blocked bool
	// readyAt is the time of day in milliseconds at which the last dependency was known to be
	// done, 0 for a job that was never blocked.
	readyAt int64
	// inherited is the urgency of the jobs that depend on this one, if any do.
	inherited *dependency.Urgency
}

// Unblock lets a job begin whose dependencies are done, at a time of day in milliseconds.
func (j *Job) Unblock(now time.Duration, wall int64) {
	j.Blocked, j.readyAt, j.PendingSince = false, wall, now
}

// WasUnblocked tells whether the job was blocked by dependencies and no longer is.
func (j *Job) WasUnblocked() bool { return j.readyAt > 0 }

// EligibleSince is the time of day in milliseconds from which the job could begin: its
// acceptance, or the end of its last dependency.
func (j *Job) EligibleSince() int64 { return max(j.Accepted, j.readyAt) }

// Inherit gives a job the urgency of those that depend on it, or takes it back.
func (j *Job) Inherit(u *dependency.Urgency) { j.inherited = u }

// Rank is the job's priority, or the highest of those that depend on it.
func (j *Job) Rank() int {
	if j.inherited != nil {
		return min(j.Priority, j.inherited.Priority)
	}
	return j.Priority
}

// AboveNormal tells whether the job's rank is higher than the normal priority.
func (j *Job) AboveNormal() bool { return j.Rank() < normalPriority }

// HasDeadline tells whether the job, or one that depends on it, has a deadline.
func (j *Job) HasDeadline() bool {
	inherits := j.inherited != nil && j.inherited.LatestStart != dependency.NoDeadline
	return j.DeadlineS > 0 || inherits
}

// RunTimeMS is the owner's estimate of a task's run time in milliseconds.
func (j *Job) RunTimeMS() int64 { return int64(j.EstimateS * 1000) }

// LatestStart is the time of day in milliseconds at which the job would have to start for all
// deadlines to be met. A job without any may wait for a few times its run time.
func (j *Job) LatestStart() int64 {
	start := j.OwnLatestStart()
	if j.inherited != nil {
		start = min(start, j.inherited.LatestStart)
	}
	if start == dependency.NoDeadline {
		return j.EligibleSince() + defaultPatience*j.RunTimeMS()
	}
	return start
}

// OwnLatestStart is the latest start by the job's own deadline.
func (j *Job) OwnLatestStart() int64 {
	if j.DeadlineS == 0 {
		return dependency.NoDeadline
	}
	return j.Accepted + int64(j.DeadlineS*1000) - j.RunTimeMS()
}

// EffectiveSpec is the description as placement is to see it: with the job's rank.
func (j *Job) EffectiveSpec() *Spec {
	if j.Rank() == j.Priority {
		return &j.Spec
	}
	spec := j.Spec
	spec.Priority = j.Rank()
	return &spec
}
