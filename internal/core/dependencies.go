package core

import (
	"slices"
	"time"

	"pepperlever/internal/core/dependency"
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// dependencies is what this controller knows of jobs that await others
// (docs/dependencies.md).
type dependencies struct {
	core *Core
	*dependency.Graph
	// lookingUp holds the awaited jobs whose state is being read.
	lookingUp map[string]bool
	// inheriting are the jobs that have the urgency of others.
	inheriting []*job.Job
	// checkAt is when the states of awaited jobs are looked up again.
	checkAt time.Duration
}

func newDependencies(c *Core) *dependencies {
	return &dependencies{core: c, Graph: dependency.New(), lookingUp: map[string]bool{}}
}

// inheritUrgency lets awaited jobs be as urgent as those that need them.
func (d *dependencies) inheritUrgency() {
	if !d.Changed() {
		return
	}
	jobs := d.core.jobs
	for _, j := range d.inheriting {
		j.Inherit(nil)
	}
	d.inheriting = d.inheriting[:0]
	urgencies := d.Inherit(func(id string) (dependency.Estimate, bool) {
		return urgencyEstimate(jobs[id])
	})
	for id, urgency := range ordered(urgencies) {
		if j := jobs[id]; j != nil {
			j.Inherit(&urgency)
			d.inheriting = append(d.inheriting, j)
		}
	}
	d.core.requestRound()
}

// urgencyEstimate is a job's own urgency and run time. It is not known of one that is not
// held or is cancelled.
func urgencyEstimate(j *job.Job) (estimate dependency.Estimate, known bool) {
	if j == nil || j.Cancelled {
		return dependency.Estimate{}, false
	}
	own := dependency.Urgency{Priority: j.Priority, LatestStart: j.OwnLatestStart()}
	return dependency.Estimate{Urgency: own, RunTime: j.RunTimeMS()}, true
}

// track notes which jobs a job awaits, when the replica gets it.
func (d *dependencies) track(j *job.Job) {
	if j.Attempt > 0 || len(j.Dependencies) == 0 {
		d.Forget(j.ID)
		j.Blocked = false // nothing is bound before all are done
		return
	}
	if j.WasUnblocked() {
		return
	}
	var unfinished []string
	for _, id := range j.Dependencies {
		if !d.core.ended.isDone(id) {
			unfinished = append(unfinished, id)
		}
	}
	d.Wait(j.ID, unfinished)
	if len(unfinished) == 0 {
		d.onReady(j)
		return
	}
	j.Blocked = true
	if i := slices.IndexFunc(unfinished, d.core.cancelled); i >= 0 {
		d.cancelDependent(j, unfinished[i])
	}
}

// onReady lets a job begin whose last awaited job is done.
func (d *dependencies) onReady(j *job.Job) {
	j.Unblock(d.core.now.Steady, d.core.now.Wall)
	d.core.requestRound()
	d.core.log(Debug, "job dependencies done", "job", j.ID)
}

// onEnded tells the jobs that wait for a job of its final state.
func (d *dependencies) onEnded(id, state string) {
	if state == protocol.Done {
		for _, ready := range d.Done(id) {
			if j := d.core.jobs[ready]; j != nil {
				d.onReady(j)
			}
		}
		return
	}
	for _, follower := range d.Followers(id) {
		d.cancelDependent(d.core.jobs[follower], id)
	}
}

// cancelDependent cancels a job because one that it awaits is cancelled. Nothing of it was ever
// bound. Every controller derives that for itself; the leader stores it when it next writes
// the job.
func (d *dependencies) cancelDependent(j *job.Job, upstream string) {
	if j == nil {
		return
	}
	if !j.Cancelled {
		d.core.log(Debug, "job cancelled with a dependency", "job", j.ID, "dependency", upstream)
		d.core.counts.CascadedCancellations++
		d.core.markCancelled(j)
	}
	d.core.rememberFinalState(j.ID, protocol.JobState{ID: j.ID, State: protocol.Cancelled})
}

// checksPerReport is how often the states of awaited jobs are looked up in a report interval.
const checksPerReport = 6

// check reads what has become of awaited jobs that the replica does not hold: they ended
// before this controller had read the stored state. Each controller does so for the jobs of all
// teams, since it plans for all, and the leader of the fleet rents by its own plan: for those of
// its own teams at once, for the others as far as users' lookups leave room.
func (d *dependencies) check() {
	interval := d.core.reportInterval() / checksPerReport
	if !d.core.every(&d.checkAt, interval) {
		return
	}
	for _, id := range d.Waiting() {
		if j := d.core.jobs[id]; j != nil && d.core.leads(j) {
			d.lookUp(d.Awaited(id))
		}
	}
	d.lookUp(d.unseen(d.core.lookups.backgroundRequests(interval)))
}

// unseen lists up to n awaited jobs that the replica does not hold and that are not being looked
// up.
func (d *dependencies) unseen(n int) (ids []string) {
	for _, id := range d.AwaitedJobs() {
		if len(ids) == n {
			break
		}
		if d.core.jobs[id] == nil && !d.lookingUp[id] {
			ids = append(ids, id)
		}
	}
	return ids
}

// lookUpUpstream reads the states of all that a job waits for, directly or through others, that
// the replica does not hold, and reports whether there are any.
func (d *dependencies) lookUpUpstream(id string) (unknown bool) {
	return d.lookUp(d.Upstream(id))
}

// lookUp reads the states of those jobs that the replica does not hold, and reports
// whether there are any.
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
