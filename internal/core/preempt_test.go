package core

import (
	"testing"
	"time"

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
	r.hosts, r.starved = r.listHosts(), []*job.Job{j}
	r.preempt()
}

// TestBestEffortWorkIsPreemptedForStarvedWork checks that long best-effort tasks make way for work
// of higher priority that finds no room, and no other tasks do.
func TestBestEffortWorkIsPreemptedForStarvedWork(t *testing.T) {
	for name, k := range map[string]struct {
		victims, waiting, want int
	}{
		"best-effort work for normal work":      {3, 2, 2},
		"best-effort work for best-effort work": {3, 3, 0},
		"normal work for urgent work":           {2, 1, 0},
	} {
		c := busyCore(10)
		for _, j := range c.jobs {
			j.Priority = k.victims
		}
		j := job.New(job.Spec{
			ID:        "req-large",
			Team:      c.teams[1].Name,
			Tasks:     2,
			Priority:  k.waiting,
			Need:      job.Resources{CPUs: 4},
			Spot:      true,
			EstimateS: 60,
		}, 64, 0)
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

// TestArraysArePreemptedForReplicasWithoutRoom checks that arrays are stopped where no room could
// be reserved for replicas, and no more of them than needed.
func TestArraysArePreemptedForReplicasWithoutRoom(t *testing.T) {
	w := gpuWorld(t, 8, 0)
	w.taskTime = time.Hour
	accepted(t, w.submit("b", "req-free-batch", 60, `,"vcpus":1.0`))
	w.started("req-free-batch", 32)
	accepted(t, w.submit("c", "req-free-watch", 6, serviceFields))
	w.run(4*time.Second, nil)
	if got := w.onMachines("req-free-watch"); got != 6 {
		t.Errorf("%d of 6 replicas are up after 4 s", got)
	}
	if got := w.onMachines("req-free-batch"); got < 16 {
		t.Errorf("%d tasks of the array are left, more were stopped than room was made for", got)
	}
}
