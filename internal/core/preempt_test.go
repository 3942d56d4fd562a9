package core

import (
	"testing"
	"time"

	"pepperlever/internal/core/job"
)

// queuedStops counts the stop commands queued for workers.
func queuedStops(c *Core) int {
	n := 0
	for _, w := range c.agents.all() {
		n += len(w.queuedCommands)
	}
	return n
}

// runPreemption runs preemption for one job that could not be placed.
func runPreemption(c *Core, j *job.Job) {
	r := newRound(c)
	r.hosts, r.starved = r.listHosts(), []*job.Job{j}
	r.preempt()
}

// TestBestEffortWorkIsPreemptedForUnplacedWork checks that long best-effort tasks, and no others,
// are preempted for jobs of higher priority that could not be placed.
func TestBestEffortWorkIsPreemptedForUnplacedWork(t *testing.T) {
	for name, tc := range map[string]struct {
		victims, waiting, want int
	}{
		"best-effort for normal":      {3, 2, 2},
		"best-effort for best-effort": {3, 3, 0},
		"normal for urgent":           {2, 1, 0},
	} {
		c := newBusyCore(10)
		for _, j := range c.jobs {
			j.Priority = tc.victims
		}
		j := job.New(job.Spec{
			ID:        "req-large",
			Team:      c.teams[1].Name,
			Tasks:     2,
			Priority:  tc.waiting,
			Need:      job.Resources{CPUs: 4},
			Spot:      true,
			EstimateS: 60,
		}, 64, 0)
		j.Version = 1
		c.addJob(c.teams[1], j)
		c.now.Steady += 2 * c.reportInterval()
		runPreemption(c, j)
		if got := queuedStops(c); got != tc.want {
			t.Errorf("%s: got %d stopped tasks, want %d", name, got, tc.want)
		}
		runPreemption(c, j)
		if got := queuedStops(c); got != tc.want {
			t.Errorf("%s: got %d stopped tasks after a second round, want no more than after the first", name, got)
		}
	}
}

// TestArraysArePreemptedForUnplacedServiceReplicas checks that arrays are preempted where no
// capacity could be reserved for service replicas, and no more of them than necessary.
func TestArraysArePreemptedForUnplacedServiceReplicas(t *testing.T) {
	cluster := newGPUSimCluster(t, 8, 0)
	cluster.taskTime = time.Hour
	requireAccepted(t, cluster.submit("b", "req-free-batch", 60, `,"vcpus":1.0`))
	cluster.waitUntilStarted("req-free-batch", 32)
	requireAccepted(t, cluster.submit("c", "req-free-watch", 6, serviceFields))
	cluster.run(4*time.Second, nil)
	if got := cluster.onMachines("req-free-watch"); got != 6 {
		t.Errorf("%d of 6 service replicas are running after 4 s", got)
	}
	if got := cluster.onMachines("req-free-batch"); got < 16 {
		t.Errorf("got %d running tasks of the array, want at least 16", got)
	}
}
