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

// idleWorld returns a world of five controllers and the given number of machines, all of which
// report.
func idleWorld(t tester, machines int) *world {
	t.Helper()
	w := newWorldOf(t, fiveNodes)
	w.maxMachines = machines
	for i := range machines {
		w.addWorker(fmt.Sprintf("z%d", 1+i%2), false)
	}
	w.ready().run(10*time.Second, nil)
	return w
}

// loadedWorld returns an idleWorld whose machines are filled by an array of long tasks, and the
// leader of the array's team.
func loadedWorld(t *testing.T, machines int, id string) (w *world, leader string) {
	t.Helper()
	w = idleWorld(t, machines)
	w.allowRacingStarts, w.taskTime = true, 10*time.Minute
	accepted(t, w.submit("a", id, 2*machines, ""))
	w.started(id, machines)
	return w, w.cores["a"].teamBy["free"].leader
}

// nodeWithStore returns a controller that can reach the store.
func (w *world) nodeWithStore() string {
	for _, n := range w.names {
		if w.cores[n] != nil && !w.withoutStore[n] && !w.frozen[n] && w.cores[n].storeOK {
			return n
		}
	}
	w.t.Fatal("no controller can reach the store")
	return ""
}

// everyLink matches all links between controllers.
func everyLink(string, string) bool { return true }

// anotherNode returns a controller other than the given one.
func (w *world) anotherNode(node string) string {
	return w.names[(slices.Index(w.names, node)+1)%len(w.names)]
}

// freeze pauses a controller's process and expires its lease.
func (w *world) freeze(node string) {
	w.frozen[node] = true
	w.expire(node)
}

// heal ends the faults of links, workers and controllers. Those of the store, the cloud and zones
// are ended by recover.
func (w *world) heal() {
	w.restore()
	clear(w.unreachableWorkers)
	clear(w.silentWorkers)
	clear(w.workerCannotReach)
	w.replayReports = false
	for _, n := range w.names {
		if w.cores[n] == nil {
			delete(w.withoutStore, n)
			delete(w.frozen, n)
			w.boot(n)
		} else if w.withoutStore[n] || w.frozen[n] {
			delete(w.frozen, n)
			w.restoreStore(n)
		}
	}
}

// controllerLease is the time to live of a controller's lease, an eighth of a worker's.
const controllerLease = 2 * time.Second

// refuseStoreTo makes the store refuse requests of one controller only. Its lease expires after
// its full time to live, which begins anew after an outage of the store, as for every lease.
func (w *world) refuseStoreTo(node string) {
	w.withoutStore[node] = true
	refusedAt := w.now
	w.scheduledActions = append(w.scheduledActions, func() bool {
		if w.outage || !w.withoutStore[node] {
			refusedAt = w.now
		}
		if w.now-refusedAt <= controllerLease {
			return !w.withoutStore[node]
		}
		w.expire(node)
		return true
	})
}

// endOutage makes the store available to all controllers.
func (w *world) endOutage() {
	w.outage = false
	for _, node := range w.names {
		if w.withoutStore[node] && w.cores[node] != nil {
			if len(w.leasesOf(node)) == 0 {
				w.restoreStore(node)
			}
			delete(w.withoutStore, node)
		}
	}
}

// reportIntervals returns the duration of n report intervals.
func reportIntervals(n int) time.Duration { return time.Duration(n) * 2 * time.Second }

// cancelDeadline returns the time within which a cancelled job must have stopped.
func (w *world) cancelDeadline() time.Duration { return seconds(w.cfg["a"].Params.Workers.CancelS) }

// countLeaderChanges returns a function that returns the number of leader changes of a team since
// this call.
func (w *world) countLeaderChanges(team string) func() int {
	changes, lastLeader := 0, w.leaderOf(team)
	w.scheduledActions = append(w.scheduledActions, func() bool {
		if leader := w.leaderOf(team); leader != "" && leader != lastLeader {
			changes, lastLeader = changes+1, leader
		}
		return false
	})
	return func() int { return changes }
}

// checkRejectsUsers checks that a controller without the store answers all users with 503.
func (w *world) checkRejectsUsers(node string) {
	w.t.Helper()
	for requestKind, a := range map[string]Answer{
		"state query":  w.status(node, "req-free-1"),
		"cancellation": w.cancelJob(node, "req-free-1"),
		"submission":   w.submit(node, "req-free-2", 4, ""),
	} {
		if a.Status != http.StatusServiceUnavailable {
			w.t.Errorf("%s answers a %s with %d, want 503", node, requestKind, a.Status)
		}
	}
}
