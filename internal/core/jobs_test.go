package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

func TestJobsOfAllTeamsRunExactlyOnce(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	ids := []string{"req-red-1", "req-blue-1", "req-free-1"}
	for i, id := range ids {
		requireAccepted(t, cluster.submit(nodeNames[i], id, 12, ""))
	}
	if !cluster.run(4*time.Minute, cluster.allDone(ids...)) {
		t.Fatal("jobs did not end")
	}
	for _, id := range ids {
		for _, n := range nodeNames {
			if s := requireJobState(t, cluster.status(n, id)); s.State != protocol.Done || s.Done != 12 {
				t.Errorf("%s: got job state %+v, want done with 12 tasks", n, s)
			}
		}
		for i := range 12 {
			if n := cluster.starts[fmt.Sprintf("%s/%d", id, i)]; n != 1 {
				t.Errorf("%s/%d was started %d times, want 1", id, i, n)
			}
		}
	}
}

func TestLargestArrayStaysWithinStoreLimits(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-blue-1", job.MaxTasks, ""))
	cluster.run(20*time.Second, nil) // the simulation checks every transaction
	if n := cluster.onMachines("req-blue-1"); n == 0 {
		t.Error("no task of the array runs")
	}
}
