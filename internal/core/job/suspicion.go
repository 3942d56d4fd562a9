package job

import "slices"

const (
	// suspicionThreshold is on how many machines a job that never succeeded has to fail to be
	// suspected of a mistake.
	suspicionThreshold = 2
	// maxFailedOn bounds how many machines are remembered that a job failed on.
	maxFailedOn = 16
)

// RecordFailure notes that a task of the job has failed on a machine. It tells whether the job
// is suspected of a mistake from now on.
func (j *Job) RecordFailure(machine string) bool {
	if !slices.Contains(j.FailedOn, machine) && len(j.FailedOn) < maxFailedOn {
		j.FailedOn = append(j.FailedOn, machine)
	}
	if j.Suspected || j.HasSucceeded() || len(j.FailedOn) < suspicionThreshold {
		return false
	}
	j.Suspected = true
	return true
}

// HasSucceeded tells whether any task of the job has succeeded.
func (j *Job) HasSucceeded() bool { return j.Proven || j.Done.Len() > 0 }

// MarkProven notes that a task has succeeded, which clears the job of the suspicion of a mistake.
func (j *Job) MarkProven() {
	j.Proven, j.Suspected = true, false
	j.FailedOn, j.Probes, j.NotBefore = nil, 0, 0
}
