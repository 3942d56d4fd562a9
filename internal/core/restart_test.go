package core

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// All controllers are down for longer than a worker's lease, so every worker begins a new epoch.
// Further faults happen meanwhile, and a cancellation was confirmed just before.
func TestAllControllersDownLongerThanLease(t *testing.T) {
	for name, injectFault := range map[string]func(cluster *simCluster){
		"no further fault": func(*simCluster) {},
		"machines reclaimed": func(cluster *simCluster) {
			cluster.forRandomMachines(3, func(id string) { delete(cluster.workers, id) })
		},
		"late reports": func(cluster *simCluster) { cluster.replayReports = true },
		"an outage":    func(cluster *simCluster) { cluster.outage = true; cluster.after(30*time.Second, cluster.endOutage) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newIdleSimCluster(t, 20)
			cluster.allowRacingStarts, cluster.taskTime = true, 25*time.Second
			requireAccepted(t, cluster.submit("a", "req-free-1", 20, ""))
			requireAccepted(t, cluster.submit("b", "req-red-2", 8, ""))
			requireAccepted(t, cluster.submit("b", "req-free-3", 6, ""))
			cluster.run(30*time.Second, func() bool { return cluster.onMachines("req-free-3")+cluster.onMachines("req-red-2") == 14 })
			cluster.run(3*time.Second, nil) // let reports arrive
			if cluster.cancelJob("c", "req-free-3").Status != http.StatusOK || cluster.onMachines("req-red-2") != 8 {
				t.Fatal("cancellation is not confirmed, or tasks are not running")
			}
			machines := slices.Sorted(maps.Keys(cluster.workers))
			injectFault(cluster)
			cluster.stopAllFor(cluster.workerLease() * 3 / 2)
			cluster.run(cluster.workerLease()*3/2+time.Second, nil)
			if !cluster.anyNewWorkerEpoch(machines) {
				t.Fatal("workers have not begun new epochs")
			}
			if !cluster.run(3*time.Minute, cluster.allDone("req-free-1", "req-red-2")) {
				t.Error("jobs did not end")
			}
			if s := requireJobState(t, cluster.status("d", "req-free-3")); s.State != protocol.Cancelled || cluster.onMachines("req-free-3") > 0 {
				t.Errorf("cancelled job has state %q or running tasks", s.State)
			}
		})
	}
}

// The lease, leadership, start commands and claims of a controller's former run still exist when
// the next run begins, and messages that the former run sent arrive after the restart.
func TestRestartedControllerIgnoresStateOfFormerRun(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			t.Parallel()
			cluster := newIdleSimCluster(t, 20)
			var ids []string
			for n := range 8 {
				id := fmt.Sprintf("req-free-%d", n)
				requireAccepted(t, cluster.submit("a", id, 12, ""))
				ids = append(ids, id)
				cluster.delayLinks(everyLink)
				cluster.run(300*time.Millisecond, nil)
				leader, fleetLeader := cluster.cores["a"].teamsByName["free"].leader, cluster.cores["a"].fleet.leader
				for _, node := range []string{leader, fleetLeader, cluster.names[n%5]} {
					if cluster.cores[node] != nil {
						cluster.crash(node)
						cluster.run(pause, nil)
						cluster.boot(node)
					}
				}
				cluster.run(400*time.Millisecond, nil)
				cluster.restoreLinks()
				cluster.run(time.Second, nil)
			}
			if !cluster.run(2*time.Minute, cluster.allDone(ids...)) {
				t.Fatal("jobs did not end")
			}
			cluster.checkStartedOnce()
		})
	}
}
