// Package dependency follows which jobs wait for which others. It knows names alone: what has
// become of a job is told to it, and what follows from that is its answer.
package dependency

import (
	"maps"
	"slices"
)

// names is a set of jobs.
type names map[string]bool

func (n names) sorted() []string { return slices.Sorted(maps.Keys(n)) }

// Graph holds the jobs that wait, and for which. A job waits until each job that it awaits
// is known to be done. Since a job only awaits jobs that were accepted before it, there are
// no cycles.
type Graph struct {
	// awaited holds, by waiting job, what it still waits for; followers is the inverse.
	awaited, followers map[string]names
	changed            bool
}

// New makes an empty Graph.
func New() *Graph { return &Graph{awaited: map[string]names{}, followers: map[string]names{}} }

// Wait notes that a job waits for others, instead of what it waited for before.
func (g *Graph) Wait(job string, awaited []string) {
	g.Forget(job)
	if len(awaited) == 0 {
		return
	}
	g.changed = true
	g.awaited[job] = names{}
	for _, a := range awaited {
		g.awaited[job][a] = true
		if g.followers[a] == nil {
			g.followers[a] = names{}
		}
		g.followers[a][job] = true
	}
}

// Forget drops a waiting job. Jobs that wait for it go on waiting.
func (g *Graph) Forget(job string) {
	for a := range g.awaited[job] {
		g.unlink(job, a)
	}
	delete(g.awaited, job)
}

func (g *Graph) unlink(job, awaited string) {
	g.changed = true
	delete(g.followers[awaited], job)
	if len(g.followers[awaited]) == 0 {
		delete(g.followers, awaited)
	}
}

// Done notes that a job is done, and returns those that wait for nothing any more.
func (g *Graph) Done(job string) (ready []string) {
	for _, f := range g.followers[job].sorted() {
		delete(g.awaited[f], job)
		g.unlink(f, job)
		if len(g.awaited[f]) == 0 {
			delete(g.awaited, f)
			ready = append(ready, f)
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
	seen := names{}
	next := []string{job}
	for len(next) > 0 {
		last := next[len(next)-1]
		next = next[:len(next)-1]
		for a := range g.awaited[last] {
			if !seen[a] {
				seen[a] = true
				next = append(next, a)
			}
		}
	}
	return seen.sorted()
}

// AwaitedJobs lists the jobs that others wait for.
func (g *Graph) AwaitedJobs() []string { return slices.Sorted(maps.Keys(g.followers)) }

// Changed tells whether the graph has changed since it was last asked.
func (g *Graph) Changed() bool {
	changed := g.changed
	g.changed = false
	return changed
}
