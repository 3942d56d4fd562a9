package core

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"
)

// fiveNodes are enough controllers for connections to be cut in many ways.
var fiveNodes = []string{"a", "b", "c", "d", "e"}

// idleWorld has five controllers and that many machines, which all report.
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

// loadedWorld has five controllers, that many machines, and an array of long tasks that fills them.
func loadedWorld(t *testing.T, machines int, id string) (w *world, leader string) {
	t.Helper()
	w = idleWorld(t, machines)
	w.allowRacingStarts, w.taskTime = true, 10*time.Minute
	accepted(t, w.submit("a", id, 2*machines, ""))
	w.started(id, machines)
	return w, w.cores["a"].teamBy["free"].leader
}

// nodeWithStore names a controller that has the store.
func (w *world) nodeWithStore() string {
	for _, n := range w.names {
		if w.cores[n] != nil && !w.withoutStore[n] && !w.frozen[n] && w.cores[n].storeOK {
			return n
		}
	}
	w.t.Fatal("no controller has the store")
	return ""
}

// everyLink selects all links between controllers.
func everyLink(string, string) bool { return true }

// anotherNode names a controller other than the given one.
func (w *world) anotherNode(node string) string {
	return w.names[(slices.Index(w.names, node)+1)%len(w.names)]
}

// freeze makes a controller stand still, whose lease then expires.
func (w *world) freeze(node string) {
	w.frozen[node] = true
	w.expire(node)
}

// heal ends all faults.
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

// refuseStoreTo makes the store refuse one controller alone. Its lease expires, unless an outage
// comes before: then every lease has its full time again.
func (w *world) refuseStoreTo(node string) {
	w.withoutStore[node] = true
	refusedAt := w.now
	w.scheduled = append(w.scheduled, func() bool {
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

// endOutage gives the store back to all.
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

// reportIntervals is the time of that many report intervals.
func reportIntervals(n int) time.Duration { return time.Duration(n) * 2 * time.Second }

// cancelDeadline is the time that a cancellation may take.
func (w *world) cancelDeadline() time.Duration { return seconds(w.cfg["a"].Params.Workers.CancelS) }

// countLeaderChanges returns a function that counts the leaders that a team has had since.
func (w *world) countLeaderChanges(team string) func() int {
	seen, last := 0, w.leaderOf(team)
	w.scheduled = append(w.scheduled, func() bool {
		if leader := w.leaderOf(team); leader != "" && leader != last {
			seen, last = seen+1, leader
		}
		return false
	})
	return func() int { return seen }
}

// checkRejectsUsers checks that a controller without the store turns all users away.
func (w *world) checkRejectsUsers(node string) {
	w.t.Helper()
	for what, a := range map[string]Answer{
		"question":     w.status(node, "req-free-1"),
		"cancellation": w.cancelJob(node, "req-free-1"),
		"submission":   w.submit(node, "req-free-2", 4, ""),
	} {
		if a.Status != http.StatusServiceUnavailable {
			w.t.Errorf("%s answers a %s with %d", node, what, a.Status)
		}
	}
}
