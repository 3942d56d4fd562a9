package dependency

import "math"

// Urgency is the scheduling priority and deadline of a job.
type Urgency struct {
	// Priority is the rank of the priority; 0 is the most urgent.
	Priority int
	// LatestStartMS is the latest start time, in Unix milliseconds, at which the deadlines of the
	// job and of its dependents can be met.
	LatestStartMS int64
}

// NoDeadline is the LatestStartMS of a job without a deadline.
const NoDeadline = math.MaxInt64

// lowestUrgency is the urgency of an unknown job, before any dependents raise it.
var lowestUrgency = Urgency{Priority: math.MaxInt, LatestStartMS: NoDeadline}

// withDependent returns u raised by the urgency of a dependent, which can't start before this job
// is done. durationMS is the run time of this job.
func (u Urgency) withDependent(dependent Urgency, durationMS int64) Urgency {
	u.Priority = min(u.Priority, dependent.Priority)
	if dependent.LatestStartMS != NoDeadline {
		u.LatestStartMS = min(u.LatestStartMS, dependent.LatestStartMS-durationMS)
	}
	return u
}

// Estimate is a job's own urgency and run time, regardless of its dependents.
type Estimate struct {
	Urgency Urgency
	// DurationMS is the estimated run time in milliseconds.
	DurationMS int64
}

// InheritUrgency returns, for every job that has dependents, its own urgency raised by theirs. The
// priority is the highest among the job and its direct and transitive dependents. The latest start
// precedes that of each direct dependent by at least the job's run time. estimate returns a job's own
// urgency and run time, and whether the job is known.
func (g *Graph) InheritUrgency(estimate func(job string) (Estimate, bool)) map[string]Urgency {
	resolver := urgencyResolver{graph: g, estimate: estimate, urgencies: map[string]Urgency{}}
	inherited := map[string]Urgency{}
	for _, job := range g.JobsWithDependents() {
		inherited[job] = resolver.urgency(job)
	}
	return inherited
}

// urgencyResolver computes inherited urgencies recursively and caches each result.
type urgencyResolver struct {
	graph     *Graph
	estimate  func(job string) (Estimate, bool)
	urgencies map[string]Urgency
}

func (r urgencyResolver) urgency(job string) Urgency {
	if urgency, found := r.urgencies[job]; found {
		return urgency
	}
	own, known := r.estimate(job)
	if !known {
		own.Urgency = lowestUrgency
	}
	urgency := own.Urgency
	r.urgencies[job] = urgency // ends the recursion if the stored dependencies have a cycle
	for _, dependent := range r.graph.Dependents(job) {
		urgency = urgency.withDependent(r.urgency(dependent), own.DurationMS)
	}
	r.urgencies[job] = urgency
	return urgency
}
