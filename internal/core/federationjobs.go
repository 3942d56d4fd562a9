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

// waitingJobs lists the waiting jobs that may go to another site, the most urgent first,
// and for how long work waits here.
func (f *federationAdapter) waitingJobs() federation.JobsWaiting {
	jobs, longestWait := f.unboundJobs()
	waiting := federation.JobsWaiting{LongestWaitS: longestWait.Seconds()}
	if !f.core.members.allKnowFederation() {
		return waiting
	}
	for _, j := range jobs {
		if len(waiting.Jobs) == maxOfferedJobs {
			break
		}
		infeasible := f.core.catalog.Loaded() && f.core.submissionCheck().reject(f.core.teamBy[j.Team], &j.Spec) != nil
		waited := f.core.now.Steady - j.PendingSince
		if infeasible || f.config.MayOffer(j.Class, waited) {
			waiting.Jobs = append(waiting.Jobs, f.offerableJob(j, waited, infeasible))
		}
	}
	return waiting
}

// unboundJobs lists the jobs that may be handed off, the most urgent first, and for how long
// the oldest of them has waited that is neither suspected nor of the lowest priority.
func (f *federationAdapter) unboundJobs() (jobs []*job.Job, longestWait time.Duration) {
	for _, t := range f.core.teams {
		for _, j := range ordered(t.jobs) {
			if !f.canHandOff(j) {
				continue
			}
			if !j.Suspected && !isBestEffort(j) {
				longestWait = max(longestWait, f.core.now.Steady-j.PendingSince)
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
func (f *federationAdapter) canHandOff(j *job.Job) bool {
	neverBound := j.Attempt == 0 && len(j.Bound) == 0
	stored := j.Version > 0 && !j.InFlight
	return neverBound && stored && !j.Cancelled && len(j.Dependencies) == 0 && !f.core.isOutgoing(j.ID)
}

// offerableJob describes a waiting job to the coordinator. Clocks of sites differ, so of a
// deadline it is told what is left.
func (f *federationAdapter) offerableJob(j *job.Job, waited time.Duration, infeasible bool) federation.WaitingJob {
	spec := j.Spec
	if spec.DeadlineS > 0 {
		elapsedS := float64(f.core.now.Wall-spec.Accepted) / 1000
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
		offer.Path = f.core.handoffs.Incoming[id].Path
	}
	return offer
}

// lookUpIncomingJobs reads the final states of jobs of other sites that have ended here, for the
// coordinator.
func (f *federationAdapter) lookUpIncomingJobs() {
	for _, incoming := range orderedBy(f.core.handoffs.Incoming, federation.CompareIncomingIDs) {
		if !incoming.Accepted || incoming.FinalState != "" {
			continue
		}
		j := f.core.jobs[incoming.LocalID]
		if j == nil || j.Cancelled {
			f.lookUpIncomingJob(incoming.LocalID)
		}
	}
}

func (f *federationAdapter) lookUpIncomingJob(id string) {
	if f.lookingUp[id] {
		return
	}
	f.lookingUp[id] = true
	f.core.lookups.request(id, func(result lookup.Result) {
		delete(f.lookingUp, id)
		if result.Outcome == lookup.Final && f.running() {
			f.add(federation.LocalJobEnded{LocalID: id, FinalState: result.State.State})
		}
	})
}
