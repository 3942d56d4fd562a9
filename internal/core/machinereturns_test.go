package core

import (
	"slices"
	"testing"
	"time"
)

// All controllers crash during an outage. After it, the stored state shows that a job was cancelled
// long ago, but not that its tasks have ended. The controllers must give worker reports time to
// arrive before they return machines because of these tasks.
func TestRestartedControllersWaitForReportsBeforeReturningMachines(t *testing.T) {
	cluster := newIdleSimCluster(t, 20)
	cluster.allowRacingStarts, cluster.taskTime = true, 10*time.Minute
	requireAccepted(t, cluster.submit("a", cancelledJobID, 40, ""))
	cluster.waitUntilStarted(cancelledJobID, 40)
	cluster.send("a", Cancel{Req: 1 << 20, ID: cancelledJobID})
	if !cluster.run(time.Second, func() bool { return cluster.kv[cancelKey(cancelledJobID)].Version > 0 }) {
		t.Fatal("the cancellation was not stored")
	}
	cluster.outage = true // the ends of the tasks are not stored
	cluster.run(cluster.cancelDeadline()*45/100, nil)
	for _, n := range cluster.names {
		cluster.crash(n)
		cluster.expire(n)
	}
	cluster.run(time.Second, nil)
	returned := 0
	cluster.onEffect = func(node string, e Effect) {
		if l, is := e.(Log); is && slices.Contains(l.Attrs, any(reasonTaskNotStopped)) {
			returned++
		}
	}
	cluster.outage = false
	for _, n := range cluster.names {
		cluster.boot(n)
	}
	cluster.run(cluster.cancelDeadline(), nil)
	if returned > 0 || cluster.onMachines(cancelledJobID) > 0 {
		t.Errorf("got %d machine returns and %d running tasks, want none", returned, cluster.onMachines(cancelledJobID))
	}
}

// After a partition, a leader that reconnects learns that a job was cancelled long ago, while its
// information about where the job's tasks are is outdated. It must not return machines needlessly.
func TestReconnectedLeaderReturnsNoMachines(t *testing.T) {
	cluster := newIdleSimCluster(t, 20)
	cluster.allowRacingStarts, cluster.taskTime = true, 10*time.Minute
	requireAccepted(t, cluster.submit("b", cancelledJobID, 30, ""))
	cluster.waitUntilStarted(cancelledJobID, 30)
	oldLeader := cluster.cores["b"].teamsByName["free"].leader
	cluster.isolate(oldLeader)
	cluster.run(reportIntervals(2), nil)
	cluster.confirmCancellation()
	cluster.run(cluster.cancelDeadline(), nil)
	returned := 0
	cluster.onEffect = func(_ string, e Effect) {
		if l, is := e.(Log); is && l.Level == Info && slices.Contains(l.Attrs, any(reasonTaskNotStopped)) && l.Text != "machine returned" {
			returned++
		}
	}
	requireAccepted(t, cluster.submit(cluster.nodeWithStore(), "req-free-2", 30, ""))
	cluster.heal()
	cluster.run(cluster.cancelDeadline(), nil)
	if returned > 0 {
		t.Errorf("got %d machine returns, want none", returned)
	}
}
