package core

import (
	"slices"
	"time"

	"pepperlever/internal/core/dependency"
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// dependencies is what this controller knows of jobs that await others (docs/dependencies.md).
type dependencies struct {
	graph *dependency.Graph
	// lookingUp holds the awaited jobs whose state is being read.
	lookingUp map[string]bool
	// inheriting are the jobs that have the urgency of others.
	inheriting []*job.Job
	// deferred are the answers that wait for the replica.
	deferred []deferredStatus
	// reloading is set while the replica lacks the jobs of a leadership that was lost.
	reloading bool
	// checkAt is when the states of awaited jobs are looked up again.
	checkAt time.Duration
}

func newDependencies() dependencies {
	return dependencies{graph: dependency.New(), lookingUp: map[string]bool{}}
}

// beginReload notes that the replica lacks jobs until the stored state is read again.
func (d *dependencies) beginReload() { d.reloading = true }

// endReload notes that the replica holds all jobs again.
func (d *dependencies) endReload() { d.reloading = false }

// forget drops a job that does not wait any more.
func (d *dependencies) forget(id string) { d.graph.Forget(id) }

// awaited lists the jobs that a job still waits for.
func (d *dependencies) awaited(id string) []string { return d.graph.Awaited(id) }

// deferStatus keeps an answer until the replica is new enough.
func (d *dependencies) deferStatus(status deferredStatus) { d.deferred = append(d.deferred, status) }

// takeDeferred removes all answers that wait for the replica.
func (d *dependencies) takeDeferred() []deferredStatus {
	waiting := d.deferred
	d.deferred = nil
	return waiting
}

// inheritUrgency lets awaited jobs be as urgent as those that need them, and reports whether
// anything may have changed.
func (d *dependencies) inheritUrgency(jobs map[string]*job.Job) (changed bool) {
	if !d.graph.Changed() {
		return false
	}
	for _, j := range d.inheriting {
		j.Inherit(nil)
	}
	d.inheriting = d.inheriting[:0]
	urgencies := d.graph.Inherit(func(id string) (dependency.Estimate, bool) {
		return urgencyEstimate(jobs[id])
	})
	for id, urgency := range ordered(urgencies) {
		if j := jobs[id]; j != nil {
			j.Inherit(&urgency)
			d.inheriting = append(d.inheriting, j)
		}
	}
	return true
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

// inheritUrgency updates the urgency of awaited jobs.
func (c *Core) inheritUrgency() {
	if c.dependencies.inheritUrgency(c.jobs) {
		c.requestRound()
	}
}

// trackDependencies notes which jobs a job awaits, when the replica gets it.
func (c *Core) trackDependencies(j *job.Job) {
	if j.Attempt > 0 || len(j.Dependencies) == 0 {
		c.dependencies.forget(j.ID)
		j.Blocked = false // nothing is bound before all are done
		return
	}
	if j.WasUnblocked() {
		return
	}
	var unfinished []string
	for _, id := range j.Dependencies {
		if !c.ended.isDone(id) {
			unfinished = append(unfinished, id)
		}
	}
	c.dependencies.graph.Wait(j.ID, unfinished)
	if len(unfinished) == 0 {
		c.becameReady(j)
		return
	}
	j.Blocked = true
	if i := slices.IndexFunc(unfinished, c.cancelled); i >= 0 {
		c.cancelDependent(j, unfinished[i])
	}
}

// becameReady lets a job begin whose last awaited job is done.
func (c *Core) becameReady(j *job.Job) {
	j.Unblock(c.now.Steady, c.now.Wall)
	c.requestRound()
	c.log(Debug, "job dependencies done", "job", j.ID)
}

// dependencyEnded tells the jobs that wait for a job of its final state.
func (c *Core) dependencyEnded(id, state string) {
	if state == protocol.Done {
		for _, ready := range c.dependencies.graph.Done(id) {
			if j := c.jobs[ready]; j != nil {
				c.becameReady(j)
			}
		}
		return
	}
	for _, follower := range c.dependencies.graph.Followers(id) {
		c.cancelDependent(c.jobs[follower], id)
	}
}

// cancelDependent cancels a job because one that it awaits is cancelled. Nothing of it was ever
// bound. Every controller derives that for itself; the leader stores it when it next writes
// the job.
func (c *Core) cancelDependent(j *job.Job, upstream string) {
	if j == nil {
		return
	}
	if !j.Cancelled {
		c.log(Debug, "job cancelled with a dependency", "job", j.ID, "dependency", upstream)
		c.counts.CascadedCancellations++
		c.markCancelled(j)
	}
	c.rememberFinalState(j.ID, protocol.JobState{ID: j.ID, State: protocol.Cancelled})
}

// checkDependencies reads what has become of awaited jobs that the replica does not hold: they
// ended before this controller had read the stored state.
func (c *Core) checkDependencies() {
	if !c.every(&c.dependencies.checkAt, c.reportInterval()/6) {
		return
	}
	for _, id := range c.dependencies.graph.Waiting() {
		if j := c.jobs[id]; j != nil && c.leads(j) {
			c.lookUpDependencies(c.dependencies.awaited(id))
		}
	}
}

// lookUpDependencies reads the states of those jobs that the replica does not hold, and reports
// whether there are any.
func (c *Core) lookUpDependencies(ids []string) (unknown bool) {
	for _, id := range ids {
		if c.jobs[id] != nil {
			continue
		}
		unknown = true
		if c.dependencies.lookingUp[id] || c.dependencies.reloading {
			continue
		}
		c.dependencies.lookingUp[id] = true
		c.lookUp(id, func(result lookup.Result) {
			delete(c.dependencies.lookingUp, id)
			if result.Outcome == lookup.Final {
				c.dependencyEnded(id, result.State.State)
			}
		})
	}
	return unknown
}
