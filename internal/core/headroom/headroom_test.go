package headroom

import (
	"os"
	"testing"

	"pgregory.net/rapid"

	"pepperlever/internal/core/job"
	"pepperlever/internal/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { os.Exit(testseed.Run(m, nil)) }

// TestHeadroomIsBounded checks that room is reserved for two of the largest jobs, but never for
// more than a quarter of what a class has: a single service of thousands must not idle as many
// places again.
func TestHeadroomIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Class
		sum, largest := 0, 0
		for _, n := range rapid.SliceOfN(rapid.IntRange(1, 5000), 0, 200).Draw(t, "jobs") {
			c.Add(&job.Spec{ID: "req-1", Tasks: n})
			sum, largest = sum+n, max(largest, n)
		}
		spare := c.Headroom()
		if spare > 2*largest || 4*spare > sum+3 || sum > 0 && spare == 0 {
			t.Fatalf("%d places for %d tasks, at most %d a job", spare, sum, largest)
		}
	})
}

func TestNewestJobStandsForItsClass(t *testing.T) {
	var c Class
	for _, s := range []job.Spec{{ID: "b", Accepted: 5}, {ID: "a", Accepted: 7}, {ID: "c", Accepted: 7}, {ID: "d", Accepted: 6}} {
		c.Add(&s)
	}
	if c.Spec.ID != "c" {
		t.Errorf("%s stands for the class", c.Spec.ID)
	}
}

func TestPeakIsRememberedForOneToTwoWindows(t *testing.T) {
	var p Peak
	for i, step := range []struct {
		window  int64
		n, want int
	}{{0, 3, 3}, {0, 8, 8}, {0, 1, 8}, {1, 2, 8}, {2, 1, 2}, {2, 5, 5}, {9, 1, 1}} {
		if p.Observe(step.window, step.n); p.Max() != step.want {
			t.Errorf("step %d: %d, not %d", i, p.Max(), step.want)
		}
	}
}
