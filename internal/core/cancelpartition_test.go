package core

import (
	"fmt"
	"testing"
	"time"
)

// Cancelled tasks end within the deadline while controllers are disconnected from each other, and
// also if some of them crash, freeze or lose the store. The faults last for a shorter or a longer
// time than the deadline (docs/incidents/apart.md).
func TestCancelledTasksEndInTimeUnderPartitions(t *testing.T) {
	const deadline = 30 * time.Second
	cuts := map[string]func(cluster *simCluster, leader string){
		"nothing":   func(*simCluster, string) {},
		"all links": func(cluster *simCluster, _ string) { cluster.disconnectLinks(everyLink) },
		"all links of the leader": func(cluster *simCluster, leader string) {
			cluster.disconnectLinks(func(f, t string) bool { return f == leader || t == leader })
		},
		"links from the leader": func(cluster *simCluster, leader string) {
			cluster.disconnectLinks(func(f, _ string) bool { return f == leader })
		},
		"links to the leader": func(cluster *simCluster, leader string) {
			cluster.disconnectLinks(func(_, t string) bool { return t == leader })
		},
		"links to the fleet leader": func(cluster *simCluster, _ string) {
			fleetLeader := cluster.cores["a"].fleet.leader
			cluster.disconnectLinks(func(_, t string) bool { return t == fleetLeader })
		},
		"every second link": func(cluster *simCluster, _ string) {
			cluster.disconnectLinks(func(f, t string) bool { return (f[0]+t[0])%2 == 1 })
		},
		"all links, leader's store": func(cluster *simCluster, leader string) { cluster.disconnectLinks(everyLink); cluster.cutStore(leader) },
		"all links, another's store": func(cluster *simCluster, leader string) {
			cluster.disconnectLinks(everyLink)
			cluster.cutStore(cluster.anotherController(leader))
		},
		"all links, store of three": func(cluster *simCluster, leader string) {
			cluster.disconnectLinks(everyLink)
			for _, n := range []string{"a", "c", "e"} {
				cluster.cutStore(n)
			}
		},
		"all links, leader crashes": func(cluster *simCluster, leader string) {
			cluster.disconnectLinks(everyLink)
			cluster.crash(leader)
			cluster.expire(leader)
		},
		"all links, one freezes": func(cluster *simCluster, leader string) {
			cluster.disconnectLinks(everyLink)
			cluster.freeze(cluster.anotherController(leader))
		},
		"all links, leader freezes": func(cluster *simCluster, leader string) { cluster.disconnectLinks(everyLink); cluster.freeze(leader) },
	}
	for name, cut := range cuts {
		for _, deadlines := range []float64{0.5, 1, 2} {
			t.Run(fmt.Sprint(name, ", deadlines: ", deadlines), func(t *testing.T) {
				t.Parallel()
				machines := 20
				if name == "all links" {
					machines = 200
				}
				cluster, leader := newLoadedSimCluster(t, machines, "req-free-1")
				cut(cluster, leader)
				cluster.run(2*time.Second, nil)
				if a := cluster.cancelJob(cluster.nodeWithStore(), "req-free-1"); a.Status != 200 {
					t.Fatalf("cancellation: got status %d, want 200", a.Status)
				}
				cluster.run(time.Duration(deadlines*float64(deadline)), nil)
				cluster.heal()
				cluster.run(2*deadline, nil)
				if len(cluster.cancelConfirmedAt) > 0 {
					t.Error("the scenario ended before the deadline")
				}
			})
		}
	}
}

// A machine that reaches no controller stops its tasks when its lease expires, even if the cloud
// does not release the machine.
func TestIsolatedMachineStopsTasksWhenLeaseExpires(t *testing.T) {
	cluster, _ := newLoadedSimCluster(t, 20, "req-free-1")
	cluster.cloudDegraded = true
	for _, f := range cluster.workers {
		cluster.cutWorkers[f.Machine] = true
	}
	cluster.cancelJob("a", "req-free-1")
	if cluster.run(10*time.Second, nil); cluster.onMachines("req-free-1") == 0 {
		t.Error("tasks ended before the lease expired")
	}
	if cluster.run(7*time.Second, nil); cluster.onMachines("req-free-1") > 0 {
		t.Errorf("got %d running tasks after the lease expired, want none", cluster.onMachines("req-free-1"))
	}
}

// A leader that has lost the store must not report a cancelled job as done. Once it is reconnected
// it learns at the same time that it was replaced and that the job was cancelled and has ended, and
// must not mistake the deletion of the job for its completion.
func TestDeposedLeaderReportsCancelledJobAsCancelled(t *testing.T) {
	cluster := newSimClusterOf(t, fiveNodes)
	cluster.allowRacingStarts, cluster.taskTime = true, time.Minute
	cluster.waitUntilReady()
	leader := cluster.cores["a"].teamsByName["free"].leader
	requireAccepted(t, cluster.submit(leader, "req-free-1", 12, ""))
	cluster.waitUntilStarted("req-free-1", 3)
	cluster.cutStore(leader)
	cluster.run(5*time.Second, nil)
	cluster.cancelJob(cluster.nodeWithStore(), "req-free-1")
	if !cluster.run(time.Minute, func() bool { return cluster.kv[jobKey("req-free-1")].Version == 0 }) {
		t.Fatal("the cancelled job did not end")
	}
	cluster.restoreStore(leader)
	cluster.run(10*time.Second, nil)
	if s := requireJobState(t, cluster.status(leader, "req-free-1")); s.State != "cancelled" {
		t.Errorf("%s: got state %+v, want cancelled", leader, s)
	}
}
