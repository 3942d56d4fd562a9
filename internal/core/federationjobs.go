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

// maxWaitingJobs is the maximum number of waiting jobs in one JobsWaiting input. Less urgent jobs
// follow in later inputs, once more urgent ones no longer wait.
const maxWaitingJobs = 64

// waitingJobs returns the waiting jobs that may be offered to another site now, the most urgent first,
// and the longest wait at this site (see handoffCandidates). It returns no jobs while any live
// controller does not support federation.
func (f *federationAdapter) waitingJobs() federation.JobsWaiting {
	jobs, longestWait := f.handoffCandidates()
	waiting := federation.JobsWaiting{LongestWaitS: longestWait.Seconds()}
	if !f.core.members.allSupportFederation() {
		return waiting
	}
	for _, j := range jobs {
		if len(waiting.Jobs) == maxWaitingJobs {
			break
		}
		infeasible := f.core.catalog.Loaded() && f.core.submissionCheck().reject(f.core.teamsByName[j.Team], &j.Spec) != nil
		waited := f.core.now.Steady - j.PendingSince
		if infeasible || f.config.MayOffer(j.Class, waited) {
			waiting.Jobs = append(waiting.Jobs, f.offerableJob(j, waited, infeasible))
		}
	}
	return waiting
}

// handoffCandidates returns the jobs that may be handed off, the most urgent first, and the longest
// wait among those that are neither suspected nor best-effort.
func (f *federationAdapter) handoffCandidates() (jobs []*job.Job, longestWait time.Duration) {
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
			cmp.Compare(a.LatestStartMS(), b.LatestStartMS()),
			cmp.Compare(a.ID, b.ID))
	})
	return jobs, longestWait
}

// canHandOff reports whether a job may be handed off: it is stored, none of its tasks was ever bound,
// it is neither cancelled nor already handed off, and it has no dependencies, since other sites do
// not know those jobs.
func (f *federationAdapter) canHandOff(j *job.Job) bool {
	neverBound := j.Attempt == 0 && len(j.Bound) == 0
	stored := j.Version > 0 && !j.InFlight
	return neverBound && stored && !j.Cancelled && len(j.Dependencies) == 0 && !f.core.isOutgoing(j.ID)
}

// offerableJob describes a waiting job to the coordinator. The deadline is given as the remaining
// time, because the clocks of sites differ.
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

// lookUpIncomingJobs looks up the final states of other sites' jobs that have ended here, and passes
// them to the coordinator.
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
	if f.pendingLookups[id] {
		return
	}
	f.pendingLookups[id] = true
	f.core.lookups.request(id, func(result lookup.Result) {
		delete(f.pendingLookups, id)
		if result.Outcome == lookup.Final && f.running() {
			f.add(federation.LocalJobEnded{LocalID: id, FinalState: result.State.State})
		}
	})
}
