package core

import (
	"slices"

	"pepperlever/internal/core/job"
)

// unschedulableSet lists the needs that found no room in a round. Room only gets less while
// a round goes on, so a job that asks for as much or more under the same
// conditions need not be weighed against every machine again: a swarm of waiting
// jobs would cost more than all other work.
type unschedulableSet []need

// need is what found no room; cheap when dear machines were not tried.
type need struct {
	*job.Spec
	cheap bool
}

// stuckKept bounds the list.
const stuckKept = 32

// plainArray tells whether all that matters for a place is in the job itself, and
// not where its other tasks are or have failed.
func plainArray(j *job.Job) bool {
	return j.Kind == job.Array && !j.OneZone && !j.Spread && len(j.FailedOn) == 0
}

func (s *unschedulableSet) add(j *job.Job, cheap bool) {
	if plainArray(j) && len(*s) < stuckKept {
		*s = append(*s, need{&j.Spec, cheap})
	}
}

// holds tells whether a job cannot find room either. The room on hosts that are kept
// for tasks of its size, and not for those of the other, says nothing of it.
func (s unschedulableSet) holds(j *job.Job, cheap bool, kept map[job.Resources]bool) bool {
	return plainArray(j) && slices.ContainsFunc(s, func(o need) bool {
		for k := range kept {
			if k.Fits(j.Need) && !k.Fits(o.Need) {
				return false
			}
		}
		// Room with accelerators may be set aside for what asks for them.
		return (cheap || !o.cheap) && (j.Need.GPUs > 0) == (o.Need.GPUs > 0) && j.Spot == o.Spot && j.Zone == o.Zone && slices.Equal(j.Types, o.Types) &&
			o.Need.Fits(j.Need) && j.EstimateS+j.SaveS >= o.EstimateS+o.SaveS
	})
}
