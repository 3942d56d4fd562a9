package core

import (
	"testing"
	"time"
)

// The jobs of teams whose leader has crashed continue under another leader, until only one
// controller is left.
func TestTeamsOfACrashedLeaderContinueElsewhere(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	ids := []string{"req-red-1", "req-blue-1", "req-free-1"}
	for _, id := range ids {
		requireAccepted(t, cluster.submit("c", id, 10, ""))
	}
	cluster.run(12*time.Second, nil)
	for _, n := range []string{"a", "b"} {
		cluster.crash(n)
		cluster.expire(n)
	}
	if !cluster.run(4*time.Minute, cluster.allDone(ids...)) {
		t.Fatal("jobs did not end after two crashes")
	}
}

// All controllers crash while the store is down. The job ends afterwards, and the simulation checks
// that no task starts on a machine while it is still on another one.
func TestNoTaskRunsTwiceAfterAllControllersCrashInAnOutage(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-blue-1", 12, ""))
	cluster.run(9*time.Second, nil)
	cluster.outage = true
	cluster.run(2*time.Second, nil)
	for _, n := range nodeNames {
		cluster.crash(n)
	}
	cluster.run(3*time.Second, nil)
	cluster.outage = false
	for _, n := range nodeNames {
		cluster.boot(n)
	}
	if !cluster.run(4*time.Minute, cluster.allDone("req-blue-1")) {
		t.Fatal("job did not end")
	}
}

// Leaders lose the store one after the other. Start commands that they send late must do no harm.
func TestLateStartsOfLeadersWithoutTheStoreAreHarmless(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-red-1", 12, ""))
	cluster.run(8*time.Second, nil)
	for _, n := range nodeNames {
		cluster.withoutStore[n] = true
		cluster.expire(n)
		cluster.run(10*time.Second, nil)
		cluster.withoutStore[n] = false
		cluster.send(n, LeaseExpired{})
		cluster.nextReq++
		cluster.leases[cluster.nextReq] = n
		cluster.send(n, LeaseGranted{Lease: cluster.nextReq})
	}
	if !cluster.run(4*time.Minute, cluster.allDone("req-red-1")) {
		t.Fatal("job did not end")
	}
}

// A leader that alone cannot reach the store does not know that it has been replaced. It must
// not stop tasks that the new leader has started (docs/incidents/inc-491b.md).
func TestDeposedLeaderDoesNotStopTasksOfItsSuccessor(t *testing.T) {
	for name, inFlight := range map[string]bool{"idle": false, "with a write in flight": true} {
		cluster := newSimCluster(t).waitUntilReady()
		leader := cluster.cores["a"].teamsByName["free"].leader
		requireAccepted(t, cluster.submit(leader, "req-free-1", 6, ""))
		if !inFlight {
			cluster.run(time.Second, nil)
		}
		cluster.withoutStore[leader] = true
		cluster.expire(leader)
		if !cluster.run(2*time.Minute, cluster.allDone("req-free-1")) {
			t.Fatalf("%s: job did not end", name)
		}
		for task, n := range cluster.starts {
			if n > 2 {
				t.Errorf("%s: %s was started %d times, want at most 2", name, task, n)
			}
		}
	}
}

// The outcome of a transaction whose reply was lost is determined from its nonce.
func TestUnansweredTransactionsAreResolvedByTheirNonce(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-blue-1", 4, ""))
	for range 30 {
		cluster.lostReplies = 1
		cluster.run(time.Second, nil)
	}
	cluster.lostReplies = 0
	if !cluster.run(2*time.Minute, cluster.allDone("req-blue-1")) {
		t.Fatal("job did not end")
	}
	cluster.checkStartedOnce()
}

// After all controllers have restarted, the new fleet leader keeps machines that have not reported
// yet.
func TestNewFleetLeaderKeepsMachinesThatHaveNotReportedToIt(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-blue-1", 12, ""))
	cluster.run(40*time.Second, cluster.allDone("req-blue-1"))
	requireAccepted(t, cluster.submit("b", "req-blue-2", 12, ""))
	cluster.run(4*time.Second, nil)
	before := cluster.onMachines("req-blue-2")
	for _, n := range nodeNames {
		cluster.crash(n)
		cluster.expire(n)
		cluster.boot(n)
	}
	cluster.now += 5 * time.Minute // the cloud lists the machines as old
	for _, f := range cluster.workers {
		f.nextReportAt, f.leaseRenewedAt = cluster.now+5*time.Second, cluster.now
		for k := range f.running {
			f.running[k] = cluster.now + 10*time.Second
		}
	}
	cluster.run(4*time.Second, nil)
	if after := cluster.onMachines("req-blue-2"); before == 0 || after < before {
		t.Errorf("%d tasks were on machines before the crash, %d after", before, after)
	}
}

// Workers that have all switched to one controller are rebalanced once the others are back.
func TestWorkersAreRebalancedAfterACrash(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	for range 12 {
		cluster.addWorker("z1", false)
	}
	cluster.crash("b")
	cluster.expire("b")
	cluster.crash("c")
	cluster.expire("c")
	requireAccepted(t, cluster.submit("a", "req-free-1", 900, ""))
	cluster.run(10*time.Second, nil)
	cluster.boot("b")
	cluster.boot("c")
	cluster.run(20*time.Second, nil)
	for _, n := range nodeNames {
		if got := len(cluster.cores[n].agents.byMachine); got < 3 {
			t.Errorf("%s serves %d of %d workers, want at least 3", n, got, len(cluster.workers))
		}
	}
}
