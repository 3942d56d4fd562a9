package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// An accepted job must start even if the fleet leader, which does not lead the job's team, has
// missed the end of the job's dependency. Otherwise the fleet leader would consider the job blocked
// forever and rent no machines for it.
func TestMachinesAreRentedForJobsWhoseDependencyEndedUnseen(t *testing.T) {
	for name, missEnd := range map[string]func(cluster *simCluster, node string, end func()){
		"state reloaded": func(cluster *simCluster, node string, end func()) {
			cluster.blockedWatcher = node
			end()
			cluster.blockedWatcher = ""
			cluster.sendSnapshotWhenReachable(node)
		},
		"restarted": func(cluster *simCluster, node string, end func()) {
			cluster.crash(node)
			cluster.expire(node)
			end()
			cluster.boot(node)
		},
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newIdleSimCluster(t, 10)
			fleetLeader := cluster.cores["a"].fleet.leader
			if fleetLeader == cluster.leaderOf("red") {
				t.Fatal("the fleet leader also leads the team")
			}
			cluster.types = append(cluster.types, protocol.MachineType{Name: "large", CPUs: 8, MemoryGB: 32, CacheGB: 50, FetchGBPS: 1,
				Price: 3, SpotPrice: 1.2, BootS: 5, Zones: []string{"z1", "z2"}})
			cluster.run(time.Minute, func() bool { return cluster.cores[fleetLeader].catalog.Capacity("large").CPUs > 0 })
			requireAccepted(t, cluster.submit("a", "req-red-1", 1, ""))
			requireAccepted(t, cluster.submit("a", "req-red-2", 2, dependenciesField("req-red-1")+`,"builds":["large"]`))
			cluster.waitUntilStarted("req-red-1", 1)
			missEnd(cluster, fleetLeader, func() {
				if !cluster.run(time.Minute, cluster.allDone("req-red-1")) {
					t.Fatal("the dependency did not end")
				}
			})
			if !cluster.run(30*time.Second, func() bool { return cluster.wronglyBlocked(fleetLeader, "req-red-2") }) {
				t.Fatal("the fleet leader has not missed the end of the dependency")
			}
			if !cluster.run(30*time.Second, func() bool { return cluster.cores[fleetLeader].fleet.leading }) {
				t.Fatal("the controller no longer leads the fleet")
			}
			cluster.maxMachines += 10
			if !cluster.run(2*time.Minute, cluster.allDone("req-red-2")) {
				t.Errorf("the job did not end after its dependency: got %d machines with %d of its tasks",
					len(cluster.workers), cluster.onMachines("req-red-2"))
			}
		})
	}
}

// A controller that has reloaded the stored state must not look up the dependencies of all teams in
// one burst, which would delay answers to users.
func TestMissedEndsOfOtherTeamsAreLookedUpWithinRateLimit(t *testing.T) {
	cluster := newIdleSimCluster(t, 10)
	cluster.taskTime = 10 * time.Minute
	requireAccepted(t, cluster.submit("a", "req-red-long", 1, ""))
	cluster.waitUntilStarted("req-red-long", 1)
	cluster.taskTime = time.Second
	node := cluster.anotherController(cluster.leaderOf("red"))
	cluster.blockedWatcher = node
	dependencyIDs := []string{"req-red-long"}
	for n := range 24 {
		dependencyIDs = append(dependencyIDs, fmt.Sprintf("req-red-%d", n))
		requireAccepted(t, cluster.submit("a", dependencyIDs[n+1], 1, ""))
	}
	requireAccepted(t, cluster.submit("a", "req-red-last", 1, dependenciesField(dependencyIDs...)))
	if !cluster.run(time.Minute, cluster.allDone(dependencyIDs[1:]...)) {
		t.Fatal("the dependencies did not end")
	}
	reads := 0
	cluster.onEffect = func(from string, e Effect) {
		if get, is := e.(StoreGet); is && from == node && strings.HasPrefix(get.Key, keyState) {
			reads++
		}
	}
	cluster.blockedWatcher = ""
	cluster.sendSnapshotWhenReachable(node)
	cluster.run(time.Second, nil)
	if rate := cluster.cores[node].lookups.limits().Rate; reads == 0 || float64(reads) > rate {
		t.Errorf("got %d reads of final states in a second, want some and at most %v", reads, rate)
	}
	c := cluster.cores[node]
	if !cluster.run(time.Minute, func() bool { return len(c.dependencies.PendingDependencies("req-red-last")) <= 1 }) {
		t.Errorf("got %d of 25 dependencies not known to have ended, want at most 1", len(c.dependencies.PendingDependencies("req-red-last")))
	}
}

// wronglyBlocked reports whether a job is blocked in a controller's replica but not at its leader.
func (cluster *simCluster) wronglyBlocked(node, id string) bool {
	c := cluster.cores[node]
	if c == nil || c.jobs[id] == nil {
		return false
	}
	led := cluster.cores[cluster.leaderOf(c.jobs[id].Team)].jobs[id]
	return c.jobs[id].Blocked && led != nil && !led.Blocked
}
