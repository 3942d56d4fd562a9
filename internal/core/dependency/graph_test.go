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

// A job is ready exactly when the last job that it awaits is done, in whatever order they
// end, and upstream of it is what a walk over all edges finds.
func TestJobIsReadyWhenTheLastAwaitedIsDone(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "jobs")
		name := func(i int) string { return fmt.Sprintf("req-%02d", i) }
		awaits := make([][]string, n)
		g := New()
		for i := 1; i < n; i++ {
			for a := range i {
				if rapid.IntRange(0, 2).Draw(t, "edge") == 0 {
					awaits[i] = append(awaits[i], name(a))
				}
			}
			g.Wait(name(i), awaits[i])
		}
		done := map[string]bool{}
		waitsFor := func(i int) []string {
			return slices.DeleteFunc(slices.Clone(awaits[i]), func(a string) bool { return done[a] })
		}
		for _, i := range rapid.Permutation(slices.Collect(indices(n))).Draw(t, "order") {
			for j := range n {
				if got, want := g.Awaited(name(j)), waitsFor(j); !slices.Equal(got, want) {
					t.Fatalf("%s awaits %v, want %v", name(j), got, want)
				}
			}
			var ready []string
			for j := range n {
				if w := waitsFor(j); len(w) == 1 && w[0] == name(i) {
					ready = append(ready, name(j))
				}
			}
			if got := g.Done(name(i)); !slices.Equal(got, ready) {
				t.Fatalf("after %s %v are ready, want %v", name(i), got, ready)
			}
			done[name(i)] = true
		}
		if len(g.Waiting())+len(g.AwaitedJobs()) > 0 {
			t.Fatal("something is left")
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

// The first of a chain is as urgent as the most urgent that needs it, and starts earlier by
// all that runs in between.
func TestUrgencyGoesBackAlongTheChain(t *testing.T) {
	const priority, late = 3, 90_000
	jobs := map[string]Estimate{
		"fetch":   {Urgency{priority, NoDeadline}, 10_000},
		"resolve": {Urgency{priority, NoDeadline}, 20_000},
		"docs":    {Urgency{priority, NoDeadline}, 70_000},
		"sign":    {Urgency{1, late}, 5_000},
	}
	g := New()
	g.Wait("resolve", []string{"fetch", "gone"})
	g.Wait("docs", []string{"fetch"})
	g.Wait("sign", []string{"resolve", "docs"})
	got := g.Inherit(func(job string) (Estimate, bool) {
		estimate, known := jobs[job]
		return estimate, known
	})
	for job, want := range map[string]Urgency{
		"resolve": {1, late - 20_000}, "docs": {1, late - 70_000}, "fetch": {1, late - 70_000 - 10_000},
	} {
		if got[job] != want {
			t.Errorf("%s is as urgent as %+v, want %+v", job, got[job], want)
		}
	}
	if _, known := got["sign"]; known {
		t.Error("nothing needs the last, and it inherits")
	}
	if up := g.Upstream("sign"); !slices.Equal(up, []string{"docs", "fetch", "gone", "resolve"}) {
		t.Errorf("upstream of the last is %v", up)
	}
	if g.Forget("docs"); slices.Contains(g.Followers("fetch"), "docs") {
		t.Error("a job that is gone still follows")
	}
}
