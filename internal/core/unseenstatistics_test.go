package core

import (
	"testing"
	"time"
)

// Statistics must not report an ended job as the oldest pending one, even if the controller learned
// neither of the job's start nor of its end until it reloaded the stored state.
func TestJobsWithMissedEndsAreNotCountedAsPending(t *testing.T) {
	cluster := newIdleSimCluster(t, 10)
	cluster.allowRacingStarts, cluster.taskTime = true, 20*time.Second
	requireAccepted(t, cluster.submit("a", "req-red-1", 1, ""))
	cluster.waitUntilStarted("req-red-1", 1)
	requireAccepted(t, cluster.submit("a", "req-free-1", 1, dependenciesField("req-red-1")))
	cluster.run(time.Second, nil)
	node := cluster.anotherController(cluster.leaderOf("free"))
	cluster.blockedWatcher = node
	cluster.disconnectLinks(func(from, to string) bool { return from == node || to == node })
	if !cluster.run(2*time.Minute, cluster.allDone("req-free-1")) {
		t.Fatal("the job did not end")
	}
	if oldest := cluster.oldestPending(node, "free"); oldest < 20*time.Second {
		t.Fatalf("got oldest pending job of %v at %s, want at least 20 s", oldest, node)
	}
	cluster.blockedWatcher = ""
	cluster.sendSnapshotWhenReachable(node)
	cluster.restoreLinks()
	cluster.run(reportIntervals(2), nil)
	if oldest := cluster.oldestPending(node, "free"); oldest > 0 {
		t.Errorf("got oldest pending job of %v although all jobs have ended, want none", oldest)
	}
}

// oldestPending returns the waiting time of a team's oldest pending job in a controller's
// statistics.
func (cluster *simCluster) oldestPending(node, team string) time.Duration {
	for _, row := range cluster.cores[node].statisticsReport().Rows {
		if row.Kind == "team" && row.Name == team {
			return row.Oldest
		}
	}
	return 0
}
