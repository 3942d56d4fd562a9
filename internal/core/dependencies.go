package core

import (
	"slices"
	"time"

	"pepperlever/internal/core/dependency"
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// dependencies tracks the jobs that depend on others (docs/dependencies.md).
type dependencies struct {
	core *Core
	*dependency.Graph
	// lookingUp holds the dependencies whose states are being read.
	lookingUp map[string]bool
	// inheriting holds the jobs that have inherited the urgency of their dependents.
	inheriting []*job.Job
	// nextLookup is the time at which the states of dependencies are looked up again.
	nextLookup time.Duration
}

func newDependencies(c *Core) *dependencies {
	return &dependencies{core: c, Graph: dependency.New(), lookingUp: map[string]bool{}}
}

// inheritUrgency makes jobs at least as urgent as those that depend on them.
func (d *dependencies) inheritUrgency() {
	if !d.TakeChanged() {
		return
	}
	jobs := d.core.jobs
	for _, j := range d.inheriting {
		j.InheritUrgency(nil)
	}
	d.inheriting = d.inheriting[:0]
	urgencies := d.InheritUrgency(func(id string) (dependency.Estimate, bool) {
		return urgencyEstimate(jobs[id])
	})
	for id, urgency := range ordered(urgencies) {
		if j := jobs[id]; j != nil {
			j.InheritUrgency(&urgency)
			d.inheriting = append(d.inheriting, j)
		}
	}
	d.core.requestRound()
}

// urgencyEstimate returns a job's own urgency and run time. They are unknown for a job that is
// cancelled or not in the replica.
func urgencyEstimate(j *job.Job) (estimate dependency.Estimate, known bool) {
	if j == nil || j.Cancelled {
		return dependency.Estimate{}, false
	}
	own := dependency.Urgency{Priority: j.Priority, LatestStartMS: j.OwnLatestStartMS()}
	return dependency.Estimate{Urgency: own, DurationMS: j.RunTimeMS()}, true
}

// track updates the dependency graph when the replica receives a job, and blocks, unblocks or cancels
// the job according to the states of its dependencies.
func (d *dependencies) track(j *job.Job) {
	if j.Attempt > 0 || len(j.Dependencies) == 0 {
		d.RemoveDependencies(j.ID)
		j.Blocked = false // tasks are bound only after all dependencies are done
		return
	}
	if j.WasUnblocked() {
		return
	}
	var remaining []string
	for _, id := range j.Dependencies {
		if !d.core.ended.isDone(id) {
			remaining = append(remaining, id)
		}
	}
	d.SetDependencies(j.ID, remaining)
	if len(remaining) == 0 {
		d.unblock(j)
		return
	}
	j.Blocked = true
	if i := slices.IndexFunc(remaining, d.core.cancelled); i >= 0 {
		d.cancelDependent(j, remaining[i])
	}
}

// unblock unblocks a job whose last dependency is done.
func (d *dependencies) unblock(j *job.Job) {
	j.Unblock(d.core.now.Steady, d.core.now.Wall)
	d.core.requestRound()
	d.core.log(Debug, "job dependencies done", "job", j.ID)
}

// onEnded applies the final state of a job to its dependents.
func (d *dependencies) onEnded(id, state string) {
	if state == protocol.Done {
		for _, unblocked := range d.Done(id) {
			if j := d.core.jobs[unblocked]; j != nil {
				d.unblock(j)
			}
		}
		return
	}
	for _, dependent := range d.Dependents(id) {
		d.cancelDependent(d.core.jobs[dependent], id)
	}
}

// cancelDependent cancels a job because one of its dependencies is cancelled. None of its tasks was
// ever bound. Every controller derives the cancellation by itself. The job's leader stores it when
// it next writes the job.
func (d *dependencies) cancelDependent(j *job.Job, dependencyID string) {
	if j == nil {
		return
	}
	if !j.Cancelled {
		d.core.log(Debug, "job cancelled because a dependency is cancelled", "job", j.ID, "dependency", dependencyID)
		d.core.counters.CascadedCancellations++
		d.core.markCancelled(j)
	}
	d.core.rememberFinalState(j.ID, protocol.JobState{ID: j.ID, State: protocol.Cancelled})
}

// dependencyChecksPerReport is how often the states of dependencies are looked up in each report
// interval.
const dependencyChecksPerReport = 6

// refresh looks up the dependencies that the replica does not hold because they ended before this
// controller loaded the stored state. Every controller does so for all teams, since it plans for all
// teams, and the fleet leader rents machines according to its own plan. Dependencies of jobs that this
// controller leads are looked up immediately, the others within the background lookup rate.
func (d *dependencies) refresh() {
	interval := d.core.reportInterval() / dependencyChecksPerReport
	if !d.core.every(&d.nextLookup, interval) {
		return
	}
	for _, id := range d.BlockedJobs() {
		if j := d.core.jobs[id]; j != nil && d.core.leads(j) {
			d.lookUp(d.PendingDependencies(id))
		}
	}
	d.lookUp(d.missingJobs(d.core.lookups.backgroundRequests(interval)))
}

// missingJobs lists up to n dependencies that the replica does not hold and that are not being
// looked up yet.
func (d *dependencies) missingJobs(n int) (ids []string) {
	for _, id := range d.JobsWithDependents() {
		if len(ids) == n {
			break
		}
		if d.core.jobs[id] == nil && !d.lookingUp[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// lookUpTransitive looks up those direct and transitive dependencies of a job that the replica does
// not hold, and reports whether there are any.
func (d *dependencies) lookUpTransitive(id string) (unknown bool) {
	return d.lookUp(d.TransitiveDependencies(id))
}

// lookUp looks up those of the given jobs that the replica does not hold, and reports whether there
// are any.
func (d *dependencies) lookUp(ids []string) (unknown bool) {
	for _, id := range ids {
		if d.core.jobs[id] != nil {
			continue
		}
		unknown = true
		if d.lookingUp[id] || d.core.replica.reloading {
			continue
		}
		d.lookingUp[id] = true
		d.core.lookups.request(id, func(result lookup.Result) {
			delete(d.lookingUp, id)
			if result.Outcome == lookup.Final {
				d.onEnded(id, result.State.State)
			}
		})
	}
	return unknown
}
