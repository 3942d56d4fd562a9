// Package dependency holds the graph of jobs that wait for others. It knows job IDs alone: its
// caller reports what has become of a job and learns which jobs that concerns.
package dependency

import (
	"maps"
	"slices"
)

// jobSet is a set of job IDs.
type jobSet map[string]bool

func (s jobSet) sorted() []string { return slices.Sorted(maps.Keys(s)) }

// Graph holds the jobs that wait, and for which. A job waits until each job that it awaits
// is known to be done. Since a job only awaits jobs that were accepted before it, there are
// no cycles.
type Graph struct {
	// awaited holds, by waiting job, what it still waits for; followers is the inverse.
	awaited, followers map[string]jobSet
	changed            bool
}

// New makes an empty Graph.
func New() *Graph {
	return &Graph{awaited: map[string]jobSet{}, followers: map[string]jobSet{}}
}

// Wait notes that a job waits for others, instead of what it waited for before.
func (g *Graph) Wait(job string, awaited []string) {
	g.Forget(job)
	if len(awaited) == 0 {
		return
	}
	g.changed = true
	g.awaited[job] = jobSet{}
	for _, upstream := range awaited {
		g.awaited[job][upstream] = true
		if g.followers[upstream] == nil {
			g.followers[upstream] = jobSet{}
		}
		g.followers[upstream][job] = true
	}
}

// Forget drops a waiting job. Jobs that wait for it go on waiting.
func (g *Graph) Forget(job string) {
	for upstream := range g.awaited[job] {
		g.unlink(job, upstream)
	}
	delete(g.awaited, job)
}

// unlink removes a job from the followers of one that it awaits.
func (g *Graph) unlink(job, awaited string) {
	g.changed = true
	delete(g.followers[awaited], job)
	if len(g.followers[awaited]) == 0 {
		delete(g.followers, awaited)
	}
}

// Done notes that a job is done, and returns those that wait for nothing any more.
func (g *Graph) Done(job string) (ready []string) {
	for _, follower := range g.followers[job].sorted() {
		delete(g.awaited[follower], job)
		g.unlink(follower, job)
		if len(g.awaited[follower]) == 0 {
			delete(g.awaited, follower)
			ready = append(ready, follower)
		}
	}
	return ready
}

// Waits tells whether a job waits.
func (g *Graph) Waits(job string) bool { return g.awaited[job] != nil }

// Waiting lists the jobs that wait.
func (g *Graph) Waiting() []string { return slices.Sorted(maps.Keys(g.awaited)) }

// Awaited lists what a job still waits for.
func (g *Graph) Awaited(job string) []string { return g.awaited[job].sorted() }

// Followers lists the jobs that wait for a job.
func (g *Graph) Followers(job string) []string { return g.followers[job].sorted() }

// Upstream lists all that a job waits for, directly or through others.
func (g *Graph) Upstream(job string) []string {
	upstream := jobSet{}
	unvisited := []string{job}
	for len(unvisited) > 0 {
		last := unvisited[len(unvisited)-1]
		unvisited = unvisited[:len(unvisited)-1]
		for awaited := range g.awaited[last] {
			if !upstream[awaited] {
				upstream[awaited] = true
				unvisited = append(unvisited, awaited)
			}
		}
	}
	return upstream.sorted()
}

// AwaitedJobs lists the jobs that others wait for.
func (g *Graph) AwaitedJobs() []string { return slices.Sorted(maps.Keys(g.followers)) }

// Changed tells whether the graph has changed since it was last asked.
func (g *Graph) Changed() bool {
	changed := g.changed
	g.changed = false
	return changed
}
