// Package dependency maintains the dependency graph of jobs and propagates urgency along it. The
// graph contains only job IDs: the caller reports which jobs are done and learns which jobs are no
// longer blocked.
package dependency

import (
	"maps"
	"slices"
)

// jobSet is a set of job IDs.
type jobSet map[string]bool

func (s jobSet) sorted() []string { return slices.Sorted(maps.Keys(s)) }

// Graph holds the remaining dependencies of each job: the jobs that it depends on and that are not
// known to be done. A job is blocked while it has any. The graph is acyclic because a job can only
// depend on jobs that were accepted before it.
type Graph struct {
	// dependsOn maps each blocked job to its remaining dependencies. dependents is the inverse.
	dependsOn, dependents map[string]jobSet
	// changed is set if the graph has changed since the last call of TakeChanged.
	changed bool
}

// New returns an empty Graph.
func New() *Graph {
	return &Graph{dependsOn: map[string]jobSet{}, dependents: map[string]jobSet{}}
}

// SetDependencies sets the remaining dependencies of a job, replacing any earlier ones.
func (g *Graph) SetDependencies(job string, dependsOn []string) {
	g.RemoveDependencies(job)
	if len(dependsOn) == 0 {
		return
	}
	g.changed = true
	g.dependsOn[job] = jobSet{}
	for _, dependency := range dependsOn {
		g.dependsOn[job][dependency] = true
		if g.dependents[dependency] == nil {
			g.dependents[dependency] = jobSet{}
		}
		g.dependents[dependency][job] = true
	}
}

// RemoveDependencies removes the dependencies of a job. Its dependents stay blocked.
func (g *Graph) RemoveDependencies(job string) {
	for dependency := range g.dependsOn[job] {
		g.unlink(job, dependency)
	}
	delete(g.dependsOn, job)
}

// unlink removes a job from the dependents of one of its dependencies.
func (g *Graph) unlink(job, dependency string) {
	g.changed = true
	delete(g.dependents[dependency], job)
	if len(g.dependents[dependency]) == 0 {
		delete(g.dependents, dependency)
	}
}

// Done removes a job that is done from the dependencies of its dependents. It returns the dependents
// that have no dependencies left, sorted.
func (g *Graph) Done(job string) (unblocked []string) {
	for _, dependent := range g.dependents[job].sorted() {
		delete(g.dependsOn[dependent], job)
		g.unlink(dependent, job)
		if len(g.dependsOn[dependent]) == 0 {
			delete(g.dependsOn, dependent)
			unblocked = append(unblocked, dependent)
		}
	}
	return unblocked
}

// IsBlocked reports whether a job has remaining dependencies.
func (g *Graph) IsBlocked(job string) bool { return g.dependsOn[job] != nil }

// BlockedJobs returns the jobs that have remaining dependencies, sorted.
func (g *Graph) BlockedJobs() []string { return slices.Sorted(maps.Keys(g.dependsOn)) }

// PendingDependencies returns the remaining dependencies of a job, sorted.
func (g *Graph) PendingDependencies(job string) []string { return g.dependsOn[job].sorted() }

// Dependents returns the jobs that depend on a job directly, sorted.
func (g *Graph) Dependents(job string) []string { return g.dependents[job].sorted() }

// TransitiveDependencies returns the direct and transitive remaining dependencies of a job, sorted.
func (g *Graph) TransitiveDependencies(job string) []string {
	found := jobSet{}
	unvisited := []string{job}
	for len(unvisited) > 0 {
		last := unvisited[len(unvisited)-1]
		unvisited = unvisited[:len(unvisited)-1]
		for dependsOn := range g.dependsOn[last] {
			if !found[dependsOn] {
				found[dependsOn] = true
				unvisited = append(unvisited, dependsOn)
			}
		}
	}
	return found.sorted()
}

// JobsWithDependents returns the jobs that are a remaining dependency of another job, sorted.
func (g *Graph) JobsWithDependents() []string { return slices.Sorted(maps.Keys(g.dependents)) }

// TakeChanged reports whether the graph has changed since the previous call.
func (g *Graph) TakeChanged() bool {
	changed := g.changed
	g.changed = false
	return changed
}
