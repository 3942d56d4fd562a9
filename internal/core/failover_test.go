package core

import (
	"testing"
	"time"
)

// The jobs of teams whose leader has crashed continue under another leader, until only one
// controller is left.
func TestTeamsOfACrashedLeaderContinueElsewhere(t *testing.T) {
	w := newWorld(t).ready()
	ids := []string{"req-red-1", "req-blue-1", "req-free-1"}
	for _, id := range ids {
		accepted(t, w.submit("c", id, 10, ""))
	}
	w.run(12*time.Second, nil)
	for _, n := range []string{"a", "b"} {
		w.crash(n)
		w.expire(n)
	}
	if !w.run(4*time.Minute, w.finished(ids...)) {
		t.Fatal("jobs did not end after two crashes")
	}
}

// All controllers crash while the store is down. Tasks that ran before must not run twice.
func TestNoTaskRunsTwiceAfterAllControllersCrashInAnOutage(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 12, ""))
	w.run(9*time.Second, nil)
	w.outage = true
	w.run(2*time.Second, nil)
	for _, n := range nodeNames {
		w.crash(n)
	}
	w.run(3*time.Second, nil)
	w.outage = false
	for _, n := range nodeNames {
		w.boot(n)
	}
	if !w.run(4*time.Minute, w.finished("req-blue-1")) {
		t.Fatal("job did not end")
	}
}

// Leaders lose the store one after the other. The starts that they send late must do no harm.
func TestLateStartsOfLeadersWithoutTheStoreAreHarmless(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-red-1", 12, ""))
	w.run(8*time.Second, nil)
	for _, n := range nodeNames {
		w.withoutStore[n] = true
		w.expire(n)
		w.run(10*time.Second, nil)
		w.withoutStore[n] = false
		w.send(n, LeaseExpired{})
		w.nextReq++
		w.leases[w.nextReq] = n
		w.send(n, LeaseGranted{Lease: w.nextReq})
	}
	if !w.run(4*time.Minute, w.finished("req-red-1")) {
		t.Fatal("job did not end")
	}
}

// A leader that alone cannot reach the store does not know that it has been replaced. It must
// not stop tasks that the new leader has started (docs/incidents/inc-491b.md).
func TestDeposedLeaderDoesNotStopTasksOfItsSuccessor(t *testing.T) {
	for name, inFlight := range map[string]bool{"idle": false, "with a write in flight": true} {
		w := newWorld(t).ready()
		leader := w.cores["a"].teamBy["free"].leader
		accepted(t, w.submit(leader, "req-free-1", 6, ""))
		if !inFlight {
			w.run(time.Second, nil)
		}
		w.withoutStore[leader] = true
		w.expire(leader)
		if !w.run(2*time.Minute, w.finished("req-free-1")) {
			t.Fatalf("%s: job did not end", name)
		}
		for task, n := range w.starts {
			if n > 2 {
				t.Errorf("%s: %s was started %d times, want at most 2", name, task, n)
			}
		}
	}
}

// The outcome of a transaction whose reply was lost is determined from its nonce.
func TestUnansweredTransactionsAreResolvedByTheirNonce(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 4, ""))
	for range 30 {
		w.lostReplies = 1
		w.run(time.Second, nil)
	}
	w.lostReplies = 0
	if !w.run(2*time.Minute, w.finished("req-blue-1")) {
		t.Fatal("job did not end")
	}
	w.startedOnce()
}

// A new leader of the fleet keeps machines whose workers have not found it yet.
func TestNewFleetLeaderKeepsMachinesThatHaveNotReportedToIt(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 12, ""))
	w.run(40*time.Second, w.finished("req-blue-1"))
	accepted(t, w.submit("b", "req-blue-2", 12, ""))
	w.run(4*time.Second, nil)
	before := w.onMachines("req-blue-2")
	for _, n := range nodeNames {
		w.crash(n)
		w.expire(n)
		w.boot(n)
	}
	w.now += 5 * time.Minute // the cloud lists the machines as old
	for _, f := range w.workers {
		f.next, f.leaseRenewedAt = w.now+5*time.Second, w.now
		for k := range f.running {
			f.running[k] = w.now + 10*time.Second
		}
	}
	w.run(4*time.Second, nil)
	if after := w.onMachines("req-blue-2"); before == 0 || after < before {
		t.Errorf("%d tasks were on machines before the crash, %d after", before, after)
	}
}

// Agents that have all switched to one controller are rebalanced once the others are back.
func TestAgentsAreRebalancedAfterACrash(t *testing.T) {
	w := newWorld(t).ready()
	for range 12 {
		w.addWorker("z1", false)
	}
	w.crash("b")
	w.expire("b")
	w.crash("c")
	w.expire("c")
	accepted(t, w.submit("a", "req-free-1", 900, ""))
	w.run(10*time.Second, nil)
	w.boot("b")
	w.boot("c")
	w.run(20*time.Second, nil)
	for _, n := range nodeNames {
		if got := len(w.cores[n].agents.byMachine); got < 3 {
			t.Errorf("%s serves %d of %d workers, want at least 3", n, got, len(w.workers))
		}
	}
}
