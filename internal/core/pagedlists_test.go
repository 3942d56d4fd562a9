package core

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"pepperlever/internal/protocol"
)

// Guards against a cancelled job that a restarted controller calls done, and whose dependents it
// starts: the controller reads the job's head before the job ends, and its cancellation after that.
func TestJobEndedAmidListStaysCancelled(t *testing.T) {
	const id, dependent, node = "req-red-1", "req-red-2", "c"
	cluster := newSimCluster(t)
	cluster.maxMachines = 0
	cluster.waitUntilReady().run(5*time.Second, nil)
	requireAccepted(t, cluster.submit("a", id, 1, ""))
	requireAccepted(t, cluster.submit("a", dependent, 1, dependenciesField(id)))
	cluster.crash(node)
	cluster.disconnectLinks(func(_, to string) bool { return to == node }) // nobody tells it of the cancellation
	cluster.run(2*time.Second, nil)
	cluster.send("a", Cancel{Req: 1, ID: id})
	if !cluster.run(2*time.Second, func() bool { return cluster.isStored(cancelKey(id)) }) || !cluster.isStored(jobKey(id)) {
		t.Fatal("the job did not end after its cancellation was stored")
	}
	cluster.listPageSize = 1
	cluster.holdNextPage = func(string) bool { return cluster.isStored(jobKey(id)) }
	cluster.boot(node)
	if !cluster.run(10*time.Second, func() bool { return cluster.cores[node].replica.loaded }) {
		t.Fatal("the restarted controller did not load the stored state")
	}
	cluster.maxMachines = 4
	cluster.run(10*time.Second, nil)
	for _, job := range []string{id, dependent} {
		if got := cluster.stateSeenBy(node, job); got != protocol.Cancelled {
			t.Errorf("%s: got state %q, want cancelled", job, got)
		}
	}
	if n := cluster.startsOf(dependent); n > 0 {
		t.Errorf("%d tasks of a job started whose dependency was cancelled", n)
	}
}

// Guards against a team over its limit: a controller reads the team's jobs, another one then stores
// bindings and hands the team over, and the controller reads that it is the leader.
func TestLeaderElectedAmidListKnowsAllBindings(t *testing.T) {
	cluster := newIdleSimCluster(t, 20)
	cluster.taskTime = 5 * time.Minute
	leader := cluster.leaderOf("red")
	requireAccepted(t, cluster.submit("a", "req-red-9", 1, "")) // the only job on the first page
	cluster.waitUntilStarted("req-red-9", 1)
	cluster.cutStore(leader)
	if !cluster.run(10*time.Second, func() bool { l := cluster.storedLeader("red"); return l != "" && l != leader }) {
		t.Fatal("no other controller leads the team")
	}
	successor := cluster.storedLeader("red")

	cluster.listPageSize = 1
	cluster.holdNextPage = func(node string) bool { return node == leader }
	delete(cluster.withoutStore, leader)
	cluster.send(leader, LeaseExpired{})
	if !cluster.run(time.Second, func() bool { return cluster.lists[leader] != nil }) {
		t.Fatal("the former leader does not read the stored state again")
	}
	requireAccepted(t, cluster.submit(successor, "req-red-1", 7, ""))
	cluster.waitUntilStarted("req-red-1", 7)
	cluster.grantLease(leader)
	if !cluster.run(10*time.Second, func() bool { return cluster.storedLeader("red") == leader }) {
		t.Fatal("the team was not handed back")
	}
	requireAccepted(t, cluster.submit(successor, "req-red-2", 7, `,"urgency":"urgent"`))
	cluster.holdNextPage = nil
	cluster.run(time.Minute, nil) // the simulation checks the team's limit at every start
	if !cluster.cores[leader].teamsByName["red"].leading {
		t.Error("the controller does not lead the team")
	}
}

// Guards against whatever else a list read page by page, amid writes, makes controllers do wrong. The
// faults are those after which controllers read the stored state again.
func TestInvariantsHoldUnderPagedLists(t *testing.T) {
	for _, fault := range []string{"one ends", "one is back at once", "handed over and back", "leaders change", "no store for one", "all end and one is back"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				steps := rapid.SliceOfN(drawScenarioStep(fault), 2, 24).Draw(t, "steps")
				pageSize := rapid.IntRange(1, 8).Draw(t, "page size")
				runRandomScenario(t, steps, func(r *randomScenario) { r.listPageSize = pageSize })
			})
		})
	}
}
