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
	// bestEffortWaitLeases is the number of worker leases for which a best-effort job may wait
	// without getting any capacity before it is treated like any other job.
	bestEffortWaitLeases = 10
	// bestEffortTargetBoots is the target run time of a best-effort job, in machine boot times.
	bestEffortTargetBoots = 6
)

// isBestEffort reports whether a job has the lowest priority and no deadline. Such a job uses
// idle capacity, and its demand must not make the fleet expensive.
func isBestEffort(j *job.Job) bool {
	return j.Rank() == len(protocol.Priorities)-1 && !j.HasDeadline()
}

// bestEffortTasks is the number of further tasks of a best-effort job that are worth renting capacity
// for, given a machine's nominal boot time: enough for the job to be done within a few boot times,
// rather than capacity for each of thousands of short tasks at once.
func bestEffortTasks(j *job.Job, tasks int, bootS float64) int {
	workS := float64(j.PendingTasks()) * j.EstimateS
	slots := math.Ceil(workS / max(bestEffortTargetBoots*bootS, 1))
	return max(0, min(tasks, int(slots)-len(j.Bound)))
}

// isSpotOnly reports whether a job must not use on-demand machines of types with a spot discount,
// except for gaps next to other jobs (see hostsFor).
func (r *round) isSpotOnly(queue *teamQueue, j *job.Job) bool {
	return j.Spot && r.core.policy.Spot && r.entitlement(queue, j) == scaling.BestEffort
}

// hostsFor lists the hosts for a job. A best-effort job that may use spot machines is kept off
// on-demand machines of types with a spot discount: it would keep them from becoming idle, at several
// times the price. Its short tasks may still fill gaps next to other jobs.
func (r *round) hostsFor(queue *teamQueue, j *job.Job) []*placement.Host {
	if !r.isSpotOnly(queue, j) {
		return r.openHosts
	}
	short := j.EstimateS <= r.core.catalog.ShortestBootS()
	if r.bestEffortHosts[short] == nil {
		r.bestEffortHosts[short] = slices.DeleteFunc(slices.Clone(r.openHosts), func(h *placement.Host) bool {
			return !r.acceptsBestEffort(h, short)
		})
	}
	return r.bestEffortHosts[short]
}

// acceptsBestEffort reports whether a host may take tasks of a spot-only job. Short tasks may also use
// on-demand machines that run other work.
func (r *round) acceptsBestEffort(h *placement.Host, short bool) bool {
	if h.Spot || !r.core.catalog.HasSpotDiscount(h.Type) {
		return true
	}
	hasOtherWork := func(j *job.Job) bool { return !isBestEffort(j) }
	return short && r.core.machines.HasBindingOfJob(h.ID, hasOtherWork)
}
