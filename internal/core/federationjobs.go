package core

import (
	"cmp"
	"slices"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/federation"
	"pepperlever/internal/mustjson"
)

// maxOfferedJobs is how many waiting jobs the coordinator is told of at a time; more come next
// time.
const maxOfferedJobs = 64

// jobsForFederation lists the waiting jobs that may go to another site, the most urgent first,
// and for how long work waits here.
func (c *Core) jobsForFederation() federation.JobsWaiting {
	jobs, longestWait := c.unboundJobs()
	waiting := federation.JobsWaiting{LongestWaitS: longestWait.Seconds()}
	if !c.members.allKnowFederation() {
		return waiting
	}
	for _, j := range jobs {
		if len(waiting.Jobs) == maxOfferedJobs {
			break
		}
		infeasible := c.catalog.Loaded() && c.submissionCheck().reject(c.teamBy[j.Team], &j.Spec) != nil
		waited := c.now.Steady - j.PendingSince
		if infeasible || c.federation.config.MayOffer(j.Class, waited) {
			waiting.Jobs = append(waiting.Jobs, c.offerableJob(j, waited, infeasible))
		}
	}
	return waiting
}

// unboundJobs lists the jobs that may be handed off, the most urgent first, and for how long
// the oldest of them has waited that is neither suspected nor of the lowest priority.
func (c *Core) unboundJobs() (jobs []*job.Job, longestWait time.Duration) {
	for _, t := range c.teams {
		for _, j := range ordered(t.jobs) {
			if !c.canHandOff(j) {
				continue
			}
			if !j.Suspected && !isBestEffort(j) {
				longestWait = max(longestWait, c.now.Steady-j.PendingSince)
			}
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job.Job) int {
		return cmp.Or(
			cmp.Compare(a.Rank(), b.Rank()),
			cmp.Compare(a.LatestStart(), b.LatestStart()),
			cmp.Compare(a.ID, b.ID))
	})
	return jobs, longestWait
}

// canHandOff tells whether nothing of a job was ever bound: only such are handed off, and
// none that awaits others, which another site does not know.
func (c *Core) canHandOff(j *job.Job) bool {
	neverBound := j.Attempt == 0 && len(j.Bound) == 0
	stored := j.Version > 0 && !j.InFlight
	return neverBound && stored && !j.Cancelled && len(j.Dependencies) == 0 && !c.isOutgoing(j.ID)
}

// offerableJob describes a waiting job to the coordinator. Clocks of sites differ, so of a
// deadline it is told what is left.
func (c *Core) offerableJob(j *job.Job, waited time.Duration, infeasible bool) federation.WaitingJob {
	spec := j.Spec
	if spec.DeadlineS > 0 {
		elapsedS := float64(c.now.Wall-spec.Accepted) / 1000
		spec.DeadlineS = max(1, spec.DeadlineS-elapsedS)
	}
	offer := federation.WaitingJob{
		ID:             j.ID,
		Class:          j.Class,
		Waited:         waited,
		Zone:           j.Zone,
		Types:          j.Types,
		InfeasibleHere: infeasible,
		Body:           mustjson.Marshal(spec.Submission()),
	}
	if id, incoming := federation.ParseLocalID(j.ID); incoming {
		offer.Path = c.handoffs.Incoming[id].Path
	}
	return offer
}

// lookUpIncomingJobs reads the final states of jobs of other sites that have ended here, for the
// coordinator.
func (c *Core) lookUpIncomingJobs() {
	for _, incoming := range orderedBy(c.handoffs.Incoming, federation.CompareIncomingIDs) {
		if !incoming.Accepted || incoming.FinalState != "" {
			continue
		}
		j := c.jobs[incoming.LocalID]
		if j == nil || j.Cancelled {
			c.lookUpIncomingJob(incoming.LocalID)
		}
	}
}

func (c *Core) lookUpIncomingJob(id string) {
	f := c.federation
	if f.lookingUp[id] {
		return
	}
	f.lookingUp[id] = true
	c.lookups.request(id, func(result lookup.Result) {
		delete(f.lookingUp, id)
		if result.Outcome == lookup.Final && f.running() {
			f.add(federation.LocalJobEnded{LocalID: id, FinalState: result.State.State})
		}
	})
}
