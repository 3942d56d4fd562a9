package core

import (
	"math"
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/core/scaling"
	"pepperlever/internal/protocol"
)

// lowest tells whether a job is of the lowest priority: it is done in idle time,
// and what it asks for must not make the fleet dear.
func lowest(j *job.Job) bool {
	return j.Rank() == len(protocol.Priorities)-1 && !j.HasDeadline()
}

// idlePatience is for how many leases work for idle time waits without any room
// before it counts as other work does.
const idlePatience = 10

// worth is for how many tasks of a job of the lowest priority room is worth
// renting: as many as end it within a few boots, not a place for each of
// thousands of short tasks.
func (c *Core) worth(j *job.Job, tasks int) int {
	places := math.Ceil(float64(j.Waiting()) * j.EstimateS / max(idleBoots*c.catalog.LongestBootS(), 1))
	return max(0, min(tasks, int(places)-len(j.Bound)))
}

// idleBoots is within how many boots of a machine work for idle time should end.
const idleBoots = 6

// meantFor leaves ordinary machines out for work in idle time that may use spot
// ones: it would keep them from emptying, at several times the price. Short tasks
// may fill the gaps beside other work.
func (c *Core) meantFor(u *candidate, j *job.Job, hosts []*placement.Host) []*placement.Host {
	if !c.cheapOnly(u, j) {
		return hosts
	}
	short := j.EstimateS <= c.catalog.ShortestBootS()
	if c.scheduler.cheap[short] == nil {
		if c.scheduler.cheap == nil {
			c.scheduler.cheap = map[bool][]*placement.Host{}
		}
		c.scheduler.cheap[short] = slices.DeleteFunc(slices.Clone(hosts), func(h *placement.Host) bool {
			return !h.Spot && c.catalog.HasSpotDiscount(h.Type) && !(short && c.machines.HasBindingsOf(h.ID, func(j *job.Job) bool { return !lowest(j) }))
		})
	}
	return c.scheduler.cheap[short]
}

// cheapOnly tells whether a job is kept off machines that have cheaper spot ones.
func (c *Core) cheapOnly(u *candidate, j *job.Job) bool {
	return j.Spot && c.policy.Spot && c.entitlement(u, j) == scaling.BestEffort
}
