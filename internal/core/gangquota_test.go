package core

import (
	"testing"
	"time"
)

// TestGangAtTeamLimitReservesNothing checks that no hosts are reserved for a gang that is held
// back by its team's limit and not by a lack of machines.
func TestGangAtTeamLimitReservesNothing(t *testing.T) {
	cluster := newSimClusterOf(t, fiveNodes)
	cluster.maxMachines, cluster.allowRacingStarts, cluster.taskTime = 8, true, 10*time.Minute
	cluster.waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-red-1", 6, ""))
	cluster.waitUntilStarted("req-red-1", 6)
	requireAccepted(t, cluster.submit("a", "req-red-2", 6, `,"shape":"group","dueS":null`)) // six more tasks would exceed 16 CPUs
	cluster.run(5*time.Minute, nil)                                                         // longer than the longest reservation delay of a gang, three timeouts
	if cluster.onMachines("req-red-2") > 0 || cluster.cpusInUse("red") != 12 {
		t.Fatal("team is not at its limit")
	}
	requireAccepted(t, cluster.submit("b", "req-free-3", 10, ""))
	if !cluster.run(time.Minute, func() bool { return cluster.onMachines("req-free-3") == 10 }) {
		t.Errorf("%d of 10 tasks of another team are running", cluster.onMachines("req-free-3"))
	}
}
