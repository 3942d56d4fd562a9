package core

import (
	"testing"

	"pepperlever/internal/core/job"
)

// stops counts the stops that are on their way to workers.
func stops(c *Core) int {
	n := 0
	for _, w := range c.agents.all() {
		n += len(w.queuedCommands)
	}
	return n
}

// preemptFor has a round make room for a job that found none.
func preemptFor(c *Core, j *job.Job) {
	r := newRound(c)
	r.hosts, r.starved = c.schedulableHosts(), []*job.Job{j}
	r.preempt()
}

// A guest's long tasks for idle time used to hold the large machines while builds
// waited for minutes; four builds in ten were in time.
func TestWorkForIdleTimeYieldsToWorkThatFindsNoRoom(t *testing.T) {
	for name, k := range map[string]struct {
		victims, waiting, want int
	}{
		"idle work to normal work":   {3, 2, 2},
		"idle work to idle work":     {3, 3, 0},
		"normal work to urgent work": {2, 1, 0},
	} {
		c := busyCore(10)
		for _, j := range c.jobs {
			j.Priority = k.victims
		}
		j := job.New(job.Spec{ID: "req-large", Team: c.teams[1].Name, Tasks: 2, Priority: k.waiting, Need: job.Resources{CPUs: 4}, Spot: true, EstimateS: 60}, 64, 0)
		j.Version = 1
		c.addJob(c.teams[1], j)
		c.now.Steady += 2 * c.reportInterval()
		preemptFor(c, j)
		if got := stops(c); got != k.want {
			t.Errorf("%s: %d tasks are stopped, want %d", name, got, k.want)
		}
		preemptFor(c, j)
		if got := stops(c); got != k.want {
			t.Errorf("%s: %d tasks are stopped after a second round", name, got)
		}
	}
}
