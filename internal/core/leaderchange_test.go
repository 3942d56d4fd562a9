package core

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"
)

// Leaders change at least ten times within two minutes, with and without an outage in between. Long
// jobs are started once, a cancelled job stays cancelled, and no job stays pending afterwards.
func TestRepeatedLeaderChanges(t *testing.T) {
	for _, outage := range []bool{false, true} {
		t.Run(fmt.Sprintf("outage %v", outage), func(t *testing.T) {
			t.Parallel()
			cluster := newIdleSimCluster(t, 20)
			cluster.allowRacingStarts, cluster.unevenRunTimes, cluster.taskTime = true, true, 50*time.Second
			for n := range 4 {
				requireAccepted(t, cluster.submit("a", fmt.Sprintf("req-free-%d", n), 3, ""))
			}
			cluster.waitUntilStarted("req-free-3", 3)
			changes := cluster.countLeaderChanges("free")
			cluster.changeLeaders("free", 20, 6*time.Second)
			cluster.run(40*time.Second, nil)
			if outage {
				cluster.outage = true
				cluster.run(15*time.Second, nil)
				cluster.endOutage()
			}
			if node := cluster.servingController(); cluster.cancelJob(node, "req-free-3").Status != http.StatusOK {
				cluster.run(5*time.Second, nil)
				cluster.cancelJob(cluster.servingController(), "req-free-3")
			}
			requireAccepted(t, cluster.submit(cluster.servingController(), "req-free-9", 3, ""))
			cluster.run(80*time.Second, nil)
			if n := changes(); n < 10 {
				t.Fatalf("leader changed %d times, want at least 10", n)
			}
			if len(cluster.cancelConfirmedAt) > 0 && cluster.onMachines("req-free-3") > 0 {
				t.Error("cancelled job is running")
			}
			cluster.recover()
			cluster.run(75*time.Second, nil)
			if cluster.startsOf("req-free-9") == 0 || !cluster.run(5*time.Minute, cluster.allDone("req-free-0", "req-free-1", "req-free-2", "req-free-9")) {
				t.Error("jobs did not continue after leaders became stable")
			}
			cluster.checkStartedOnce()
		})
	}
}

// A team is at its limit when its leader crashes. Some of its machines cannot be probed, and one of
// its jobs is cancelled meanwhile. Every later leader must count the cancelled tasks until they are
// known to have ended, and the capacity must be used again soon after that.
func TestLeaderChangeAtTeamLimit(t *testing.T) {
	for name, makeUnavailable := range map[string]func(cluster *simCluster, id string){
		"hang":            func(cluster *simCluster, id string) { cluster.hang(id, 14*time.Second) },
		"are partitioned": func(cluster *simCluster, id string) { cluster.cutWorkers[id] = true },
		"do not report":   func(cluster *simCluster, id string) { cluster.nonReportingWorkers[id] = true },
		"are unreachable": func(cluster *simCluster, id string) { cluster.workersReceivingNothing[id] = true },
		"are reclaimed":   func(cluster *simCluster, id string) { delete(cluster.workers, id) },
	} {
		for _, twice := range []bool{false, true} {
			t.Run(fmt.Sprintf("machines %s, twice %v", name, twice), func(t *testing.T) {
				t.Parallel()
				cluster := newIdleSimCluster(t, 20)
				cluster.allowRacingStarts, cluster.taskTime = true, 5*time.Minute
				requireAccepted(t, cluster.submit("a", "req-red-1", 4, ""))
				requireAccepted(t, cluster.submit("a", "req-red-2", 4, ""))
				requireAccepted(t, cluster.submit("a", "req-red-3", 8, ""))
				cluster.run(30*time.Second, func() bool { return cluster.cpusInUse("red") == 16 })
				first := "req-red-1"
				if cluster.onMachines(first) == 0 {
					first = "req-red-3"
				}
				if cluster.cpusInUse("red") != 16 || cluster.onMachines(first) == 0 {
					t.Fatal("team is not at its limit")
				}
				for _, id := range slices.Sorted(maps.Keys(cluster.workers)) {
					if cluster.loadOf(cluster.workers[id], "red").CPUs > 0 {
						makeUnavailable(cluster, id)
					}
				}
				leader := cluster.leaderOf("red")
				cluster.crash(leader)
				cluster.expire(leader)
				cluster.run(time.Second, nil)
				a := cluster.cancelJob(cluster.servingController(), first)
				if a.Status != http.StatusOK {
					cluster.run(3*time.Second, nil)
					a = cluster.cancelJob(cluster.servingController(), first)
				}
				if a.Status != http.StatusOK {
					t.Fatalf("cancellation got status %d, want 200", a.Status)
				}
				if twice {
					cluster.run(4*time.Second, nil)
					if next := cluster.leaderOf("red"); next != "" && cluster.cores[next] != nil {
						cluster.crash(next)
						cluster.expire(next)
					}
				}
				cluster.run(cluster.workerLease(), nil) // the simulation checks the limit at every start
				cluster.recover()
				if !cluster.run(90*time.Second, func() bool { return cluster.cpusInUse("red") == 16 }) {
					t.Errorf("90 s after all faults the team uses %v CPUs, want 16", cluster.cpusInUse("red"))
				}
			})
		}
	}
}

// A team without a leader gets a new one as soon as the key of its controller is deleted, ahead
// of the next periodic election.
func TestTeamsFailOverAsSoonAsTheirLeaderExpires(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	cluster.run(5*time.Second, nil)
	for _, c := range cluster.cores {
		c.members.nextElection = cluster.now + time.Hour // as if an election had just run
	}
	cluster.crash("b")
	cluster.expire("b")
	cluster.run(3*cluster.tick, nil) // one tick each for the watch event, the election write, and its event
	for _, n := range []string{"a", "c"} {
		for _, shard := range cluster.cores[n].allShards() {
			if shard.leader != "a" && shard.leader != "c" {
				t.Errorf("%s: leader of %s is %q, want a or c", n, shard.name, shard.leader)
			}
		}
	}
}
