package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/core/job"
)

// TestLargeGangStartsDespiteStreamOfSmallGangs checks that a large gang starts within four minutes
// although single-task gangs keep arriving, each of which fits on a machine as soon as that machine
// becomes free.
func TestLargeGangStartsDespiteStreamOfSmallGangs(t *testing.T) {
	cluster := newGPUSimCluster(t, 4, 12)
	cluster.taskTime = 40 * time.Second
	for n := range 200 {
		requireAccepted(t, cluster.submit("a", fmt.Sprintf("req-free-%d", n), 1, gangFields))
		if n == 12 {
			requireAccepted(t, cluster.submit("b", "req-blue-large", 5, gangFields))
		}
		cluster.run(time.Second, nil)
		if cluster.startsOf("req-blue-large") == 5 {
			break
		}
	}
	if n := cluster.startsOf("req-blue-large"); n != 5 {
		t.Fatalf("%d of 5 tasks of the large gang started within four minutes", n)
	}
	cluster.checkStartedOnce()
}

// TestTwoLargeGangsDoNotDeadlock checks that gangs that need the same zone do not each hold half
// of its hosts.
func TestTwoLargeGangsDoNotDeadlock(t *testing.T) {
	cluster := newGPUSimCluster(t, 2, 12)
	cluster.taskTime = 30 * time.Second
	ids := []string{"req-free-1", "req-blue-1", "req-free-2", "req-blue-2"}
	for _, id := range ids {
		requireAccepted(t, cluster.submit("a", id, 6, gangFields))
	}
	if !cluster.run(4*time.Minute, cluster.allDone(ids...)) {
		t.Fatal("gangs did not end")
	}
	cluster.checkStartedOnce()
}

// TestGangReservationTimeGrowsWithSize checks that hosts are reserved for a gang after a delay
// that grows with its size, up to three timeouts.
func TestGangReservationTimeGrowsWithSize(t *testing.T) {
	c := newSimCluster(t).cores["a"]
	for tasks, timeouts := range map[int]float64{1: 0, 2: 3.0 / 16, 4: 15.0 / 16, 8: 3, 100: 3} {
		j := job.New(job.Spec{Tasks: tasks, Kind: job.Gang, Accepted: 1000}, 64, 0)
		if got, want := gangReservationTime(j, c.policy.TimeoutS)-1000, int64(timeouts*c.policy.TimeoutS*1000); got != want {
			t.Errorf("gang of %d tasks: got delay %d ms, want %d", tasks, got, want)
		}
	}
}
