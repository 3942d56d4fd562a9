package dependency

import (
	"fmt"
	"os"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"pepperlever/internal/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { os.Exit(testseed.Run(m, nil)) }

// A job is unblocked exactly when its last dependency is done, regardless of the order in which its
// dependencies are done.
func TestJobIsUnblockedWhenLastDependencyIsDone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "jobs")
		name := func(i int) string { return fmt.Sprintf("req-%02d", i) }
		dependencies := make([][]string, n)
		g := New()
		for i := 1; i < n; i++ {
			for a := range i {
				if rapid.IntRange(0, 2).Draw(t, "edge") == 0 {
					dependencies[i] = append(dependencies[i], name(a))
				}
			}
			g.SetDependencies(name(i), dependencies[i])
		}
		done := map[string]bool{}
		remaining := func(i int) []string {
			return slices.DeleteFunc(slices.Clone(dependencies[i]), func(a string) bool { return done[a] })
		}
		for _, i := range rapid.Permutation(slices.Collect(indices(n))).Draw(t, "order") {
			for j := range n {
				if got, want := g.PendingDependencies(name(j)), remaining(j); !slices.Equal(got, want) {
					t.Fatalf("%s: got remaining dependencies %v, want %v", name(j), got, want)
				}
			}
			var unblocked []string
			for j := range n {
				if w := remaining(j); len(w) == 1 && w[0] == name(i) {
					unblocked = append(unblocked, name(j))
				}
			}
			if got := g.Done(name(i)); !slices.Equal(got, unblocked) {
				t.Fatalf("after %s is done: got unblocked jobs %v, want %v", name(i), got, unblocked)
			}
			done[name(i)] = true
		}
		if len(g.BlockedJobs())+len(g.JobsWithDependents()) > 0 {
			t.Fatal("graph is not empty after all jobs are done")
		}
	})
}

func indices(n int) func(func(int) bool) {
	return func(yield func(int) bool) {
		for i := range n {
			if !yield(i) {
				return
			}
		}
	}
}

// A job inherits the highest priority among its dependents. Its latest start leaves time for its own
// run and those of the jobs between it and a dependent with a deadline.
func TestUrgencyPropagatesToDependencies(t *testing.T) {
	const lowPriority, latestStart = 3, 90_000
	jobs := map[string]Estimate{
		"fetch":   {Urgency{lowPriority, NoDeadline}, 10_000},
		"resolve": {Urgency{lowPriority, NoDeadline}, 20_000},
		"docs":    {Urgency{lowPriority, NoDeadline}, 70_000},
		"sign":    {Urgency{1, latestStart}, 5_000},
	}
	g := New()
	g.SetDependencies("resolve", []string{"fetch", "gone"})
	g.SetDependencies("docs", []string{"fetch"})
	g.SetDependencies("sign", []string{"resolve", "docs"})
	got := g.InheritUrgency(func(job string) (Estimate, bool) {
		estimate, known := jobs[job]
		return estimate, known
	})
	for job, want := range map[string]Urgency{
		"resolve": {1, latestStart - 20_000}, "docs": {1, latestStart - 70_000}, "fetch": {1, latestStart - 70_000 - 10_000},
	} {
		if got[job] != want {
			t.Errorf("%s: got urgency %+v, want %+v", job, got[job], want)
		}
	}
	if _, known := got["sign"]; known {
		t.Error("got an inherited urgency for sign, which has no dependents")
	}
	if transitive := g.TransitiveDependencies("sign"); !slices.Equal(transitive, []string{"docs", "fetch", "gone", "resolve"}) {
		t.Errorf("got transitive dependencies %v of sign, want docs, fetch, gone and resolve", transitive)
	}
	if g.RemoveDependencies("docs"); slices.Contains(g.Dependents("fetch"), "docs") {
		t.Error("docs is still a dependent of fetch after RemoveDependencies")
	}
}
