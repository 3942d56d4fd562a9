package core

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// fiveNodes is a cluster large enough for varied network partitions.
var fiveNodes = []string{"a", "b", "c", "d", "e"}

// newIdleSimCluster returns a simulated cluster of five controllers and the given number of
// machines, all of which report.
func newIdleSimCluster(t tester, machines int) *simCluster {
	t.Helper()
	cluster := newSimClusterOf(t, fiveNodes)
	cluster.maxMachines = machines
	for i := range machines {
		cluster.addWorker(fmt.Sprintf("z%d", 1+i%2), false)
	}
	cluster.waitUntilReady().run(10*time.Second, nil)
	return cluster
}

// newLoadedSimCluster returns an idle simulated cluster whose machines are filled by an array of
// long tasks, and the leader of the array's team.
func newLoadedSimCluster(t *testing.T, machines int, id string) (cluster *simCluster, leader string) {
	t.Helper()
	cluster = newIdleSimCluster(t, machines)
	cluster.allowRacingStarts, cluster.taskTime = true, 10*time.Minute
	requireAccepted(t, cluster.submit("a", id, 2*machines, ""))
	cluster.waitUntilStarted(id, machines)
	return cluster, cluster.cores["a"].teamsByName["free"].leader
}

// nodeWithStore returns a controller that can reach the store.
func (cluster *simCluster) nodeWithStore() string {
	for _, n := range cluster.names {
		if cluster.cores[n] != nil && !cluster.withoutStore[n] && !cluster.frozen[n] && cluster.cores[n].storeOK {
			return n
		}
	}
	cluster.t.Fatal("no controller can reach the store")
	return ""
}

// everyLink matches all links between controllers.
func everyLink(string, string) bool { return true }

// anotherController returns a controller other than the given one.
func (cluster *simCluster) anotherController(node string) string {
	return cluster.names[(slices.Index(cluster.names, node)+1)%len(cluster.names)]
}

// freeze pauses a controller's process and expires its lease.
func (cluster *simCluster) freeze(node string) {
	cluster.frozen[node] = true
	cluster.expire(node)
}

// heal restores the links between controllers, restarts crashed controllers, resumes frozen ones
// and reconnects those without the store. It clears workersReceivingNothing, nonReportingWorkers,
// brokenWorkerLinks and replayReports; recover clears more faults.
func (cluster *simCluster) heal() {
	cluster.restoreLinks()
	clear(cluster.workersReceivingNothing)
	clear(cluster.nonReportingWorkers)
	clear(cluster.brokenWorkerLinks)
	cluster.replayReports = false
	for _, n := range cluster.names {
		if cluster.cores[n] == nil {
			delete(cluster.withoutStore, n)
			delete(cluster.frozen, n)
			cluster.boot(n)
		} else if cluster.withoutStore[n] || cluster.frozen[n] {
			delete(cluster.frozen, n)
			cluster.restoreStore(n)
		}
	}
}

// controllerLease is the time to live of a controller's lease, an eighth of a worker's.
const controllerLease = 2 * time.Second

// refuseStoreTo makes the store refuse requests of one controller only. The controller's lease
// expires after its full time to live, which begins anew after an outage of the store, as for every
// lease.
func (cluster *simCluster) refuseStoreTo(node string) {
	cluster.withoutStore[node] = true
	refusedAt := cluster.now
	cluster.scheduledActions = append(cluster.scheduledActions, func() bool {
		if cluster.outage || !cluster.withoutStore[node] {
			refusedAt = cluster.now
		}
		if cluster.now-refusedAt <= controllerLease {
			return !cluster.withoutStore[node]
		}
		cluster.expire(node)
		return true
	})
}

// endOutage makes the store available to all controllers, including those that had lost it
// individually.
func (cluster *simCluster) endOutage() {
	cluster.outage = false
	for _, node := range cluster.names {
		if cluster.withoutStore[node] && cluster.cores[node] != nil {
			if len(cluster.leasesOf(node)) == 0 {
				cluster.restoreStore(node)
			}
			delete(cluster.withoutStore, node)
		}
	}
}

// reportIntervals returns the duration of n report intervals.
func reportIntervals(n int) time.Duration { return time.Duration(n) * 2 * time.Second }

// cancelDeadline returns the time within which a cancelled job must have stopped.
func (cluster *simCluster) cancelDeadline() time.Duration {
	return seconds(cluster.cfg["a"].Params.Workers.CancelS)
}

// countLeaderChanges returns a function that returns the number of leader changes of a team since
// this call.
func (cluster *simCluster) countLeaderChanges(team string) func() int {
	changes, lastLeader := 0, cluster.leaderOf(team)
	cluster.scheduledActions = append(cluster.scheduledActions, func() bool {
		if leader := cluster.leaderOf(team); leader != "" && leader != lastLeader {
			changes, lastLeader = changes+1, leader
		}
		return false
	})
	return func() int { return changes }
}

// checkRejectsUsers checks that a controller without the store answers all users with 503.
func (cluster *simCluster) checkRejectsUsers(node string) {
	cluster.t.Helper()
	for requestKind, a := range map[string]Answer{
		"state query":  cluster.status(node, "req-free-1"),
		"cancellation": cluster.cancelJob(node, "req-free-1"),
		"submission":   cluster.submit(node, "req-free-2", 4, ""),
	} {
		if a.Status != http.StatusServiceUnavailable {
			cluster.t.Errorf("%s answers a %s with %d, want 503", node, requestKind, a.Status)
		}
	}
}
