package core

import (
	"math"
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/core/scaling"
	"pepperlever/internal/protocol"
)

const (
	// bestEffortPatience is for how many leases best-effort work waits without any room
	// before it counts as other work does.
	bestEffortPatience = 10
	// bestEffortBoots is within how many boots of a machine best-effort work should end.
	bestEffortBoots = 6
)

// isBestEffort tells whether a job is of the lowest priority and has no deadline: it is done
// in idle time, and what it asks for must not make the fleet expensive.
func isBestEffort(j *job.Job) bool {
	return j.Rank() == len(protocol.Priorities)-1 && !j.HasDeadline()
}

// bestEffortTasks is for how many tasks of a best-effort job room is worth renting, given the
// nominal boot time of a machine: as many as end the job within a few boots, not a place for
// each of thousands of short tasks.
func bestEffortTasks(j *job.Job, tasks int, bootS float64) int {
	workS := float64(j.PendingTasks()) * j.EstimateS
	places := math.Ceil(workS / max(bestEffortBoots*bootS, 1))
	return max(0, min(tasks, int(places)-len(j.Bound)))
}

// isSpotOnly tells whether a job is kept off machines that have cheaper spot ones.
func (r *round) isSpotOnly(queue *teamQueue, j *job.Job) bool {
	return j.Spot && r.core.policy.Spot && r.entitlement(queue, j) == scaling.BestEffort
}

// hostsFor lists the hosts for a job. Best-effort work that may use spot machines is kept off
// ordinary ones: it would keep them from emptying, at several times the price. Its short tasks
// may fill the gaps beside other work.
func (r *round) hostsFor(queue *teamQueue, j *job.Job) []*placement.Host {
	if !r.isSpotOnly(queue, j) {
		return r.openHosts
	}
	short := j.EstimateS <= r.core.catalog.ShortestBootS()
	if r.bestEffortHosts[short] == nil {
		r.bestEffortHosts[short] = slices.DeleteFunc(slices.Clone(r.openHosts), func(h *placement.Host) bool {
			return !r.takesBestEffort(h, short)
		})
	}
	return r.bestEffortHosts[short]
}

// takesBestEffort tells whether a host may take best-effort tasks, short ones or others.
func (r *round) takesBestEffort(h *placement.Host, short bool) bool {
	if h.Spot || !r.core.catalog.HasSpotDiscount(h.Type) {
		return true
	}
	hasOtherWork := func(j *job.Job) bool { return !isBestEffort(j) }
	return short && r.core.machines.HasBindingsOf(h.ID, hasOtherWork)
}
