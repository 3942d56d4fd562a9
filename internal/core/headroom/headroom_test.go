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

// TestHeadroomIsBounded checks that capacity is reserved for at most two jobs as large as the
// largest and at most a quarter of the active tasks. Without the second bound the headroom for a
// single service with thousands of tasks would keep capacity for thousands more idle.
func TestHeadroomIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var c Class
		sum, largest := 0, 0
		for _, n := range rapid.SliceOfN(rapid.IntRange(1, 5000), 0, 200).Draw(t, "jobs") {
			c.Add(&job.Spec{ID: "req-1", Tasks: n})
			sum, largest = sum+n, max(largest, n)
		}
		reserved := c.Headroom()
		if reserved > 2*largest || 4*reserved > sum+3 || sum > 0 && reserved == 0 {
			t.Fatalf("headroom of %d for %d tasks, at most %d per job", reserved, sum, largest)
		}
	})
}

func TestClassUsesSpecOfNewestJob(t *testing.T) {
	var c Class
	for _, s := range []job.Spec{{ID: "b", Accepted: 5}, {ID: "a", Accepted: 7}, {ID: "c", Accepted: 7}, {ID: "d", Accepted: 6}} {
		c.Add(&s)
	}
	if c.Spec.ID != "c" {
		t.Errorf("got the spec of job %s, want that of c", c.Spec.ID)
	}
}

func TestPeakCoversCurrentAndPreviousWindow(t *testing.T) {
	var p Peak
	for i, step := range []struct {
		window  int64
		n, want int
	}{{0, 3, 3}, {0, 8, 8}, {0, 1, 8}, {1, 2, 8}, {2, 1, 2}, {2, 5, 5}, {9, 1, 1}} {
		if p.Observe(step.window, step.n); p.Max() != step.want {
			t.Errorf("step %d: got maximum %d, want %d", i, p.Max(), step.want)
		}
	}
}
