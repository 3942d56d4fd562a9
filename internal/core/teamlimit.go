package core

import "pepperlever/internal/core/job"

// limit returns the resources that a team may use at most. A limit of 0 in the settings means unlimited.
func (t *team) limit() job.Resources {
	limit := job.Resources{CPUs: job.Unlimited, GPUs: job.Unlimited, MemoryGB: job.Unlimited}
	if t.CPUsMax > 0 {
		limit.CPUs = t.CPUsMax
	}
	if t.GPUsMax > 0 {
		limit.GPUs = t.GPUsMax
	}
	return limit
}

// withinLimit reports whether a team may use the given resources.
func withinLimit(t *team, r job.Resources) bool { return r.Fits(t.limit()) }

// withinGuarantee reports whether the given CPUs are within what a team is guaranteed.
func withinGuarantee(t *team, cpus float64) bool { return job.AmountFits(cpus, t.CPUs) }

// tasksWithinLimit returns how many of n tasks fit within a team's limit in addition to what it
// uses.
func tasksWithinLimit(t *team, used, need job.Resources, n int) int {
	return need.FitCount(t.limit().Plus(used, -1), n)
}
