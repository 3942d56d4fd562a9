package job

import "slices"

const (
	// suspicionThreshold is the number of machines on which a job that never succeeded has to
	// fail before the job itself is suspected as the cause.
	suspicionThreshold = 2
	// maxFailedMachines bounds the length of Job.FailedOn.
	maxFailedMachines = 16
)

// RecordFailure records that a task of the job has failed on a machine. It reports whether the job
// has become suspected by this failure.
func (j *Job) RecordFailure(machine string) bool {
	if !slices.Contains(j.FailedOn, machine) && len(j.FailedOn) < maxFailedMachines {
		j.FailedOn = append(j.FailedOn, machine)
	}
	if j.Suspected || j.HasSucceeded() || len(j.FailedOn) < suspicionThreshold {
		return false
	}
	j.Suspected = true
	return true
}

// HasSucceeded reports whether any task of the job has succeeded.
func (j *Job) HasSucceeded() bool { return j.TaskSucceeded || j.Done.Len() > 0 }

// RecordSuccess records that a task has succeeded. The job is no longer suspected, and its failure
// history is reset.
func (j *Job) RecordSuccess() {
	j.TaskSucceeded, j.Suspected = true, false
	j.FailedOn, j.CanaryStarts, j.NotBefore = nil, 0, 0
}
