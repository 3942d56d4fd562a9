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

// All controllers are away for longer than a lease: every epoch has risen, machines were taken
// meanwhile, and a cancellation was confirmed just before.
func TestAllControllersAwayForLongerThanALease(t *testing.T) {
	for name, also := range map[string]func(w *world){
		"nothing":        func(*world) {},
		"machines taken": func(w *world) { w.eachOfSome(3, func(id string) { delete(w.workers, id) }) },
		"late reports":   func(w *world) { w.replayReports = true },
		"an outage":      func(w *world) { w.outage = true; w.after(30*time.Second, w.endOutage) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := idleWorld(t, 20)
			w.allowRacingStarts, w.taskTime = true, 25*time.Second
			accepted(t, w.submit("a", "req-free-1", 20, ""))
			accepted(t, w.submit("b", "req-red-2", 8, ""))
			accepted(t, w.submit("b", "req-free-3", 6, ""))
			w.run(30*time.Second, func() bool { return w.onMachines("req-free-3")+w.onMachines("req-red-2") == 14 })
			w.run(3*time.Second, nil) // reports have come
			if w.cancelJob("c", "req-free-3").Status != http.StatusOK || w.onMachines("req-red-2") != 8 {
				t.Fatal("not confirmed, or not started")
			}
			machines := slices.Sorted(maps.Keys(w.workers))
			also(w)
			w.stopAllFor(w.lease() * 3 / 2)
			w.run(w.lease()*3/2+time.Second, nil)
			if !w.sessions(machines) {
				t.Fatal("no epoch has risen")
			}
			if !w.run(3*time.Minute, w.finished("req-free-1", "req-red-2")) {
				t.Error("jobs do not end")
			}
			if s := stateOf(t, w.status("d", "req-free-3")); s.State != protocol.Cancelled || w.onMachines("req-free-3") > 0 {
				t.Errorf("what was cancelled is %q", s.State)
			}
		})
	}
}

// The former run's lease, leadership, starts and claims are all still there when its successor
// begins, and what it had sent comes after that.
func TestRestartedControllerResumesNothingOld(t *testing.T) {
	for _, pause := range []time.Duration{0, 100 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			t.Parallel()
			w := idleWorld(t, 20)
			var ids []string
			for n := range 8 {
				id := fmt.Sprintf("req-free-%d", n)
				accepted(t, w.submit("a", id, 12, ""))
				ids = append(ids, id)
				w.hold(everyLink)
				w.run(300*time.Millisecond, nil)
				leader, fleetLeader := w.cores["a"].teamBy["free"].leader, w.cores["a"].fleet.leader
				for _, node := range []string{leader, fleetLeader, w.names[n%5]} {
					if w.cores[node] != nil {
						w.crash(node)
						w.run(pause, nil)
						w.boot(node)
					}
				}
				w.run(400*time.Millisecond, nil)
				w.restore()
				w.run(time.Second, nil)
			}
			if !w.run(2*time.Minute, w.finished(ids...)) {
				t.Fatal("jobs do not end")
			}
			w.startedOnce()
		})
	}
}
