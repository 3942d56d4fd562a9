package dependency

import "math"

// Urgency is how urgently a job has to be done.
type Urgency struct {
	// Priority is the rank of its priority, the most urgent first.
	Priority int
	// LatestStart is the time of day in milliseconds at which it would have to start for
	// its deadline, or that of a job that needs it, to be met.
	LatestStart int64
}

// NoDeadline is the latest start of a job without a deadline.
const NoDeadline = math.MaxInt64

// noUrgency is that of a job of which nothing is known and which nothing needs.
var noUrgency = Urgency{Priority: math.MaxInt, LatestStart: NoDeadline}

// needed is the urgency of a job that takes so many milliseconds and is needed by a job of
// urgency by: it has to be done before that one starts.
func (u Urgency) needed(by Urgency, runTime int64) Urgency {
	u.Priority = min(u.Priority, by.Priority)
	if by.LatestStart != NoDeadline {
		u.LatestStart = min(u.LatestStart, by.LatestStart-runTime)
	}
	return u
}

// Estimate is what is known of a job by itself.
type Estimate struct {
	Urgency Urgency
	// RunTime is in milliseconds.
	RunTime int64
}

// Inherit works out the urgency of the awaited jobs: each is as urgent as the most urgent
// job that needs it, directly or through others, and starts earlier than that by its own
// run time. estimate tells a job's own urgency and run time, or that it is not known.
func (g *Graph) Inherit(estimate func(job string) (Estimate, bool)) map[string]Urgency {
	inherited := inheritance{graph: g, estimate: estimate, urgencies: map[string]Urgency{}}
	awaited := map[string]Urgency{}
	for _, job := range g.AwaitedJobs() {
		awaited[job] = inherited.urgency(job)
	}
	return awaited
}

// inheritance works out urgencies, each of them once.
type inheritance struct {
	graph     *Graph
	estimate  func(job string) (Estimate, bool)
	urgencies map[string]Urgency
}

func (i inheritance) urgency(job string) Urgency {
	if urgency, found := i.urgencies[job]; found {
		return urgency
	}
	own, known := i.estimate(job)
	if !known {
		own.Urgency = noUrgency
	}
	urgency := own.Urgency
	i.urgencies[job] = urgency // ends the recursion even if the stored records have a cycle
	for _, follower := range i.graph.Followers(job) {
		urgency = urgency.needed(i.urgency(follower), own.RunTime)
	}
	i.urgencies[job] = urgency
	return urgency
}
