// Package dependency maintains the dependency graph of jobs and propagates urgency along it. The
// graph contains only job IDs: the caller reports which jobs are done and is told which jobs become
// ready.
package dependency

import (
	"maps"
	"slices"
)

// jobSet is a set of job IDs.
type jobSet map[string]bool

func (s jobSet) sorted() []string { return slices.Sorted(maps.Keys(s)) }

// Graph holds the unfinished dependencies of waiting jobs. A job waits until every job that it
// awaits is known to be done. The graph is acyclic because a job can only await jobs that were
// accepted before it.
type Graph struct {
	// awaited maps each waiting job to the jobs that it still awaits; dependents is the
	// inverse.
	awaited, dependents map[string]jobSet
	changed             bool
}

// New returns an empty Graph.
func New() *Graph {
	return &Graph{awaited: map[string]jobSet{}, dependents: map[string]jobSet{}}
}

// SetDependencies sets the jobs that a job awaits, replacing any earlier ones.
func (g *Graph) SetDependencies(job string, awaited []string) {
	g.RemoveDependencies(job)
	if len(awaited) == 0 {
		return
	}
	g.changed = true
	g.awaited[job] = jobSet{}
	for _, upstream := range awaited {
		g.awaited[job][upstream] = true
		if g.dependents[upstream] == nil {
			g.dependents[upstream] = jobSet{}
		}
		g.dependents[upstream][job] = true
	}
}

// RemoveDependencies removes the dependencies of a job. Jobs that await it keep waiting.
func (g *Graph) RemoveDependencies(job string) {
	for upstream := range g.awaited[job] {
		g.unlink(job, upstream)
	}
	delete(g.awaited, job)
}

// unlink removes a job from the dependents of a job that it awaits.
func (g *Graph) unlink(job, awaited string) {
	g.changed = true
	delete(g.dependents[awaited], job)
	if len(g.dependents[awaited]) == 0 {
		delete(g.dependents, awaited)
	}
}

// Done removes a completed job from the dependencies of other jobs and returns, sorted, those that
// have no dependencies left.
func (g *Graph) Done(job string) (ready []string) {
	for _, dependent := range g.dependents[job].sorted() {
		delete(g.awaited[dependent], job)
		g.unlink(dependent, job)
		if len(g.awaited[dependent]) == 0 {
			delete(g.awaited, dependent)
			ready = append(ready, dependent)
		}
	}
	return ready
}

// IsBlocked reports whether a job still awaits others.
func (g *Graph) IsBlocked(job string) bool { return g.awaited[job] != nil }

// BlockedJobs returns the jobs that still await others, sorted.
func (g *Graph) BlockedJobs() []string { return slices.Sorted(maps.Keys(g.awaited)) }

// PendingDependencies returns the jobs that a job still awaits, sorted.
func (g *Graph) PendingDependencies(job string) []string { return g.awaited[job].sorted() }

// Dependents returns the jobs that await a job, sorted.
func (g *Graph) Dependents(job string) []string { return g.dependents[job].sorted() }

// TransitiveDependencies returns the direct and transitive dependencies that a job still awaits,
// sorted.
func (g *Graph) TransitiveDependencies(job string) []string {
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

// AwaitedJobs returns the jobs that others await, sorted.
func (g *Graph) AwaitedJobs() []string { return slices.Sorted(maps.Keys(g.dependents)) }

// Changed reports whether the graph has changed since the previous call.
func (g *Graph) Changed() bool {
	changed := g.changed
	g.changed = false
	return changed
}
