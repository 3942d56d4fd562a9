package core

import (
	"slices"

	"pepperlever/internal/core/job"
)

// maxUnschedulable bounds an unschedulableSet.
const maxUnschedulable = 32

// unschedulableSet lists the needs that found no room in a round. Room only gets less while
// a round goes on, so a job that asks for as much or more under the same conditions need not
// be weighed against every machine again, which matters when very many jobs wait.
type unschedulableSet []unschedulableNeed

// unschedulableNeed is what found no room, on spot machines only or on any.
type unschedulableNeed struct {
	spec     *job.Spec
	spotOnly bool
}

// isPlainArray tells whether all that matters for a place is in the job itself, and not where
// its other tasks are or have failed.
func isPlainArray(j *job.Job) bool {
	return j.Kind == job.Array && !j.OneZone && !j.Spread && len(j.FailedOn) == 0
}

// add notes that a job found no room.
func (s *unschedulableSet) add(j *job.Job, spotOnly bool) {
	if isPlainArray(j) && len(*s) < maxUnschedulable {
		*s = append(*s, unschedulableNeed{&j.Spec, spotOnly})
	}
}

// covers tells whether a job cannot find room either, given the needs that hosts were reserved
// for before the round.
func (s unschedulableSet) covers(j *job.Job, spotOnly bool, reserved map[job.Resources]bool) bool {
	if !isPlainArray(j) {
		return false
	}
	return slices.ContainsFunc(s, func(n unschedulableNeed) bool {
		return n.covers(j, spotOnly, reserved)
	})
}

// covers tells whether a job asks for as much or more under the same conditions. The room on
// hosts that are reserved for tasks of the job's size, and not for those of the other, says
// nothing of it, nor does room with accelerators that is reserved for what asks for them.
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
		n.spec.Need.Fits(j.Need) &&
		j.EstimateS+j.SaveS >= n.spec.EstimateS+n.spec.SaveS
}
