package job

import (
	"time"

	"pepperlever/internal/core/dependency"
)

// defaultWaitFactor is how long a job without a deadline may wait, as a multiple of its run time.
const defaultWaitFactor = 3

// dependencyState is the state that each controller derives from a job's dependencies and
// dependents. It is not stored.
type dependencyState struct {
	// Blocked is set while any dependency is not known to be done. A blocked job has no
	// bindings and is allocated no resources.
	Blocked bool
	// readyAtMS is when this controller learned that the last dependency was done, in Unix
	// milliseconds, 0 for a job that was never unblocked.
	readyAtMS int64
	// inheritedUrgency is the urgency inherited from the jobs that depend on this one, nil if
	// there are none.
	inheritedUrgency *dependency.Urgency
}

// Unblock lets a job start once its dependencies are done. wallMS is the wall-clock time in Unix
// milliseconds.
func (j *Job) Unblock(now time.Duration, wallMS int64) {
	j.Blocked, j.readyAtMS, j.PendingSince = false, wallMS, now
}

// WasUnblocked reports whether Unblock was called for the job.
func (j *Job) WasUnblocked() bool { return j.readyAtMS > 0 }

// EligibleSinceMS returns the time in Unix milliseconds from which the job could start: when it was
// accepted, or when its last dependency was done.
func (j *Job) EligibleSinceMS() int64 { return max(j.Accepted, j.readyAtMS) }

// InheritUrgency sets the urgency that the job inherits from its dependents; nil clears it.
func (j *Job) InheritUrgency(u *dependency.Urgency) { j.inheritedUrgency = u }

// Rank returns the rank of the highest priority among the job and its dependents. A lower rank is
// more urgent.
func (j *Job) Rank() int {
	if j.inheritedUrgency != nil {
		return min(j.Priority, j.inheritedUrgency.Priority)
	}
	return j.Priority
}

// AboveNormal reports whether the job's effective priority is higher than normal.
func (j *Job) AboveNormal() bool { return j.Rank() < normalPriority }

// HasDeadline reports whether the job or one of its dependents has a deadline.
func (j *Job) HasDeadline() bool {
	inherits := j.inheritedUrgency != nil && j.inheritedUrgency.LatestStartMS != dependency.NoDeadline
	return j.DeadlineS > 0 || inherits
}

// RunTimeMS returns the user's estimate of a task's run time in milliseconds.
func (j *Job) RunTimeMS() int64 { return int64(j.EstimateS * 1000) }

// LatestStartMS returns the latest time, in Unix milliseconds, at which the job can start so that
// its own deadline and those of its dependents are met. Without any deadline it is
// defaultWaitFactor run times after the job became eligible.
func (j *Job) LatestStartMS() int64 {
	start := j.OwnLatestStartMS()
	if j.inheritedUrgency != nil {
		start = min(start, j.inheritedUrgency.LatestStartMS)
	}
	if start == dependency.NoDeadline {
		return j.EligibleSinceMS() + defaultWaitFactor*j.RunTimeMS()
	}
	return start
}

// OwnLatestStartMS returns the latest start time in Unix milliseconds that meets the job's own
// deadline, or dependency.NoDeadline if it has none.
func (j *Job) OwnLatestStartMS() int64 {
	if j.DeadlineS == 0 {
		return dependency.NoDeadline
	}
	return j.Accepted + int64(j.DeadlineS*1000) - j.RunTimeMS()
}

// EffectiveSpec returns the spec that placement uses, in which the priority is the job's rank.
func (j *Job) EffectiveSpec() *Spec {
	if j.Rank() == j.Priority {
		return &j.Spec
	}
	spec := j.Spec
	spec.Priority = j.Rank()
	return &spec
}
