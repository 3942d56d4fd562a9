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

// Inherit works out the urgency of the awaited jobs: each is as urgent as the most urgent
// job that needs it, directly or through others, and starts earlier than that by its own
// run time. own tells a job's own urgency and run time in milliseconds, or that it is not known.
func (g *Graph) Inherit(own func(job string) (Urgency, int64, bool)) map[string]Urgency {
	all := map[string]Urgency{}
	var of func(job string) Urgency
	of = func(job string) Urgency {
		if u, known := all[job]; known {
			return u
		}
		u, runs, known := own(job)
		if !known {
			u = Urgency{Priority: math.MaxInt, LatestStart: NoDeadline}
		}
		all[job] = u // whatever the records say, this comes to an end
		for _, f := range g.Followers(job) {
			follower := of(f)
			u.Priority = min(u.Priority, follower.Priority)
			if follower.LatestStart != NoDeadline {
				u.LatestStart = min(u.LatestStart, follower.LatestStart-runs)
			}
		}
		all[job] = u
		return u
	}
	out := map[string]Urgency{}
	for _, job := range g.AwaitedJobs() {
		out[job] = of(job)
	}
	return out
}
