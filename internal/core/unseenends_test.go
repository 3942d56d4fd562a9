package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// Guards against an accepted job that never starts: the fleet leader, which does not lead the job's
// team, has missed the end of its dependency, considers the job blocked and rents no machines for
// it.
func TestMachinesAreRentedForJobsWhoseDependencyEndedUnseen(t *testing.T) {
	for name, missEnd := range map[string]func(w *world, node string, end func()){
		"state reloaded": func(w *world, node string, end func()) {
			w.slowWatcher = node
			end()
			w.slowWatcher = ""
			w.read(node)
		},
		"restarted": func(w *world, node string, end func()) {
			w.crash(node)
			w.expire(node)
			end()
			w.boot(node)
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := idleWorld(t, 10)
			fleetLeader := w.cores["a"].fleet.leader
			if fleetLeader == w.leaderOf("red") {
				t.Fatal("the fleet leader also leads the team")
			}
			w.types = append(w.types, protocol.MachineType{Name: "large", CPUs: 8, MemoryGB: 32, CacheGB: 50, FetchGBPS: 1,
				Price: 3, SpotPrice: 1.2, BootS: 5, Zones: []string{"z1", "z2"}})
			w.run(time.Minute, func() bool { return w.cores[fleetLeader].catalog.Capacity("large").CPUs > 0 })
			accepted(t, w.submit("a", "req-red-1", 1, ""))
			accepted(t, w.submit("a", "req-red-2", 2, awaiting("req-red-1")+`,"builds":["large"]`))
			w.started("req-red-1", 1)
			missEnd(w, fleetLeader, func() {
				if !w.run(time.Minute, w.finished("req-red-1")) {
					t.Fatal("the dependency did not end")
				}
			})
			if !w.run(30*time.Second, func() bool { return w.wronglyBlocked(fleetLeader, "req-red-2") }) {
				t.Fatal("the fleet leader has not missed the end of the dependency")
			}
			if !w.run(30*time.Second, func() bool { return w.cores[fleetLeader].fleet.leading }) {
				t.Fatal("the controller no longer leads the fleet")
			}
			w.maxMachines += 10
			if !w.run(2*time.Minute, w.finished("req-red-2")) {
				t.Errorf("the job did not end after its dependency: got %d machines with %d of its tasks",
					len(w.workers), w.onMachines("req-red-2"))
			}
		})
	}
}

// Guards against a controller that reloads the stored state and then looks up the dependencies of
// all teams in one burst, which delays the answers to users.
func TestMissedEndsOfOtherTeamsAreLookedUpWithinRateLimit(t *testing.T) {
	w := idleWorld(t, 10)
	w.taskTime = 10 * time.Minute
	accepted(t, w.submit("a", "req-red-long", 1, ""))
	w.started("req-red-long", 1)
	w.taskTime = time.Second
	node := w.anotherNode(w.leaderOf("red"))
	w.slowWatcher = node
	dependencyIDs := []string{"req-red-long"}
	for n := range 24 {
		dependencyIDs = append(dependencyIDs, fmt.Sprintf("req-red-%d", n))
		accepted(t, w.submit("a", dependencyIDs[n+1], 1, ""))
	}
	accepted(t, w.submit("a", "req-red-last", 1, awaiting(dependencyIDs...)))
	if !w.run(time.Minute, w.finished(dependencyIDs[1:]...)) {
		t.Fatal("the dependencies did not end")
	}
	reads := 0
	w.onEffect = func(from string, e Effect) {
		if get, is := e.(StoreGet); is && from == node && strings.HasPrefix(get.Key, keyState) {
			reads++
		}
	}
	w.slowWatcher = ""
	w.read(node)
	w.run(time.Second, nil)
	if rate := w.cores[node].lookups.limits().Rate; reads == 0 || float64(reads) > rate {
		t.Errorf("got %d reads of final states in a second, want some and at most %v", reads, rate)
	}
	c := w.cores[node]
	if !w.run(time.Minute, func() bool { return len(c.dependencies.Awaited("req-red-last")) <= 1 }) {
		t.Errorf("got %d of 25 dependencies not known to have ended, want at most 1", len(c.dependencies.Awaited("req-red-last")))
	}
}

// wronglyBlocked reports whether a job is blocked in a controller's replica but not at its leader.
func (w *world) wronglyBlocked(node, id string) bool {
	c := w.cores[node]
	if c == nil || c.jobs[id] == nil {
		return false
	}
	led := w.cores[w.leaderOf(c.jobs[id].Team)].jobs[id]
	return c.jobs[id].Blocked && led != nil && !led.Blocked
}
