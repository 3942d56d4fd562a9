package core

import (
	"time"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/core/fairness"
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
)

// usageRecordInterval is how often controllers exchange usage records.
const usageRecordInterval = 2 * time.Second

// updateUsageRecords integrates usage and demand since the last update into the records of the
// teams that this node leads.
func (c *Core) updateUsageRecords() {
	elapsed := c.now.Steady - c.timers.usageUpdated
	if elapsed < usageRecordInterval/8 {
		return
	}
	c.timers.usageUpdated = c.now.Steady
	shares := fairness.Shares(totalCapacity(c.machines, c.catalog), teamWeights(c.teams))
	window := c.now.Wall / int64(c.policy.WindowS*1000)
	for i, t := range c.teams {
		if !t.leading {
			continue
		}
		usage := t.usage()
		demand := usage.Plus(c.pendingResources(t), 1)
		integrated := min(elapsed, usageRecordInterval).Seconds()
		t.record.Accumulate(window, integrated, resourceVector(usage), resourceVector(demand), shares[i])
	}
}

// storeUsageRecords stores the records of the teams that this node leads, so that they survive a
// crash.
func (c *Core) storeUsageRecords() {
	for _, t := range c.teams {
		if t.leading && c.storeOK {
			c.compareAndSwap(t.usageTxn(), false, func(StoreReply) {})
		}
	}
}

// resourceVector converts resources to the vector used for ranking teams.
func resourceVector(r job.Resources) fairness.Vector {
	return fairness.Vector{r.CPUs, r.GPUs, r.MemoryGB}
}

// teamWeights returns the guarantees of the teams, in CPUs.
func teamWeights(teams []*team) []float64 {
	weights := make([]float64, len(teams))
	for i, t := range teams {
		weights[i] = t.CPUs
	}
	return weights
}

// totalCapacity is the combined capacity of all known machines.
func totalCapacity(machines *worker.Registry, types catalog.Catalog) fairness.Vector {
	var sum job.Resources
	for _, name := range machines.Names() {
		sum = sum.Plus(types.Capacity(machines.Get(name).Type), 1)
	}
	return resourceVector(sum)
}

// usage is the sum of the resources that the team's bound tasks take.
func (t *team) usage() job.Resources {
	var sum job.Resources
	for _, j := range t.jobs {
		sum = sum.Plus(j.Need, float64(len(j.Bound)))
	}
	return sum
}

// pendingResources is the sum of the resources requested by the team's tasks that may be placed
// now.
func (c *Core) pendingResources(t *team) job.Resources {
	var sum job.Resources
	for _, j := range t.jobs {
		sum = sum.Plus(j.Need, float64(c.startAllowance(j)))
	}
	return sum
}
