package core

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// Guards against an accepted job that never begins: the leader of the fleet, which does not lead
// the job's team, has not seen its dependency end, takes it for blocked and rents nothing.
func TestMachinesAreRentedForJobsWhoseDependencyEndedUnseen(t *testing.T) {
	for name, miss := range map[string]func(w *world, node string, end func()){
		"state read again": func(w *world, node string, end func()) {
			w.slowWatcher = node
			end()
			w.slowWatcher = ""
			w.read(node)
		},
		"started over": func(w *world, node string, end func()) {
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
				t.Fatal("the leader of the fleet leads the team")
			}
			w.types = append(w.types, protocol.MachineType{Name: "large", CPUs: 8, MemoryGB: 32, CacheGB: 50, FetchGBPS: 1,
				Price: 3, SpotPrice: 1.2, BootS: 5, Zones: []string{"z1", "z2"}})
			w.run(time.Minute, func() bool { return w.cores[fleetLeader].catalog.Capacity("large").CPUs > 0 })
			accepted(t, w.submit("a", "req-red-1", 1, ""))
			accepted(t, w.submit("a", "req-red-2", 2, awaiting("req-red-1")+`,"builds":["large"]`))
			w.started("req-red-1", 1)
			miss(w, fleetLeader, func() {
				if !w.run(time.Minute, w.finished("req-red-1")) {
					t.Fatal("the dependency does not end")
				}
			})
			if !w.run(30*time.Second, func() bool { return w.takesForBlocked(fleetLeader, "req-red-2") }) {
				t.Fatal("the leader of the fleet has seen the dependency end")
			}
			if !w.run(30*time.Second, func() bool { return w.cores[fleetLeader].fleet.leading }) {
				t.Fatal("it does not lead the fleet")
			}
			w.maxMachines += 10
			if !w.run(2*time.Minute, w.finished("req-red-2")) {
				t.Errorf("a job does not end after its dependency: %d machines, %d tasks on them",
					len(w.workers), w.onMachines("req-red-2"))
			}
		})
	}
}

// Guards against a controller that reads the state again and then reads the ends of all that is awaited
// anywhere in one burst, while users wait for their answers.
func TestUnseenEndsOfOtherTeamsAreLookedUpWithinTheRateOfLookups(t *testing.T) {
	w := idleWorld(t, 10)
	w.taskTime = 10 * time.Minute
	accepted(t, w.submit("a", "req-red-long", 1, ""))
	w.started("req-red-long", 1)
	w.taskTime = time.Second
	node := w.anotherNode(w.leaderOf("red"))
	w.slowWatcher = node
	awaited := []string{"req-red-long"}
	for n := range 24 {
		awaited = append(awaited, fmt.Sprintf("req-red-%d", n))
		accepted(t, w.submit("a", awaited[n+1], 1, ""))
	}
	accepted(t, w.submit("a", "req-red-last", 1, awaiting(awaited...)))
	if !w.run(time.Minute, w.finished(awaited[1:]...)) {
		t.Fatal("the awaited jobs do not end")
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
		t.Errorf("%d final states are read in a second, want some and no more than %v", reads, rate)
	}
	c := w.cores[node]
	if !w.run(time.Minute, func() bool { return len(c.dependencies.Awaited("req-red-last")) <= 1 }) {
		t.Errorf("%d of 25 awaited jobs are not known to have ended", len(c.dependencies.Awaited("req-red-last")))
	}
}

// takesForBlocked tells whether a controller takes a job for blocked that its leader does not.
func (w *world) takesForBlocked(node, id string) bool {
	c := w.cores[node]
	if c == nil || c.jobs[id] == nil {
		return false
	}
	led := w.cores[w.leaderOf(c.jobs[id].Team)].jobs[id]
	return c.jobs[id].Blocked && led != nil && !led.Blocked
}
