package core

import (
	"slices"

	"pepperlever/internal/core/job"
)

// maxUnschedulable bounds the size of an unschedulableSet.
const maxUnschedulable = 32

// unschedulableSet lists the resource needs that could not be placed in a round. Free capacity
// only shrinks during a round, so a job that needs at least as much under the same constraints
// can be skipped without evaluating every machine, which matters when many jobs are pending.
type unschedulableSet []unschedulableNeed

// unschedulableNeed is a need that could not be placed, either on spot machines only or on any
// machine.
type unschedulableNeed struct {
	spec     *job.Spec
	spotOnly bool
}

// isUnconstrainedArray reports whether placement of a job depends only on its own spec, and not
// on where its other tasks run or have failed.
func isUnconstrainedArray(j *job.Job) bool {
	return j.Kind == job.Array && !j.OneZone && !j.Spread && len(j.FailedOn) == 0
}

// add records that a job could not be placed.
func (s *unschedulableSet) add(j *job.Job, spotOnly bool) {
	if isUnconstrainedArray(j) && len(*s) < maxUnschedulable {
		*s = append(*s, unschedulableNeed{&j.Spec, spotOnly})
	}
}

// covers reports whether a job cannot be placed either. reserved holds the needs that hosts were
// reserved for in the previous round.
func (s unschedulableSet) covers(j *job.Job, spotOnly bool, reserved map[job.Resources]bool) bool {
	if !isUnconstrainedArray(j) {
		return false
	}
	return slices.ContainsFunc(s, func(n unschedulableNeed) bool {
		return n.covers(j, spotOnly, reserved)
	})
}

// covers reports whether a job needs at least as much under the same constraints. Hosts reserved
// for tasks of the job's size but not of the recorded size may still have capacity for the job,
// and so may hosts reserved for GPU jobs if only the job needs GPUs; in both cases it is not
// covered.
func (n unschedulableNeed) covers(j *job.Job, spotOnly bool, reserved map[job.Resources]bool) bool {
	for need := range reserved {
		if need.Fits(j.Need) && !need.Fits(n.spec.Need) {
			return false
		}
	}
	return (spotOnly || !n.spotOnly) &&
		(j.Need.GPUs > 0) == (n.spec.Need.GPUs > 0) &&
		j.Spot == n.spec.Spot &&
		j.Zone == n.spec.Zone &&
		slices.Equal(j.Types, n.spec.Types) &&
		n.spec.Need.AtMost(j.Need) &&
		j.EstimateS+j.SaveS >= n.spec.EstimateS+n.spec.SaveS
}
