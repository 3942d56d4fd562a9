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
	for name, injectFault := range map[string]func(w *world){
		"no further fault": func(*world) {},
		"machines taken":   func(w *world) { w.eachOfSome(3, func(id string) { delete(w.workers, id) }) },
		"late reports":     func(w *world) { w.replayReports = true },
		"an outage":        func(w *world) { w.outage = true; w.after(30*time.Second, w.endOutage) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := idleWorld(t, 20)
			w.allowRacingStarts, w.taskTime = true, 25*time.Second
			accepted(t, w.submit("a", "req-free-1", 20, ""))
			accepted(t, w.submit("b", "req-red-2", 8, ""))
			accepted(t, w.submit("b", "req-free-3", 6, ""))
			w.run(30*time.Second, func() bool { return w.onMachines("req-free-3")+w.onMachines("req-red-2") == 14 })
			w.run(3*time.Second, nil) // let reports arrive
			if w.cancelJob("c", "req-free-3").Status != http.StatusOK || w.onMachines("req-red-2") != 8 {
				t.Fatal("cancellation is not confirmed, or tasks are not running")
			}
			machines := slices.Sorted(maps.Keys(w.workers))
			injectFault(w)
			w.stopAllFor(w.lease() * 3 / 2)
			w.run(w.lease()*3/2+time.Second, nil)
			if !w.sessions(machines) {
				t.Fatal("workers have not begun new epochs")
			}
			if !w.run(3*time.Minute, w.finished("req-free-1", "req-red-2")) {
				t.Error("jobs did not end")
			}
			if s := stateOf(t, w.status("d", "req-free-3")); s.State != protocol.Cancelled || w.onMachines("req-free-3") > 0 {
				t.Errorf("cancelled job has state %q or running tasks", s.State)
			}
		})
	}
}

// The lease, leadership, starts and claims of a controller's former run still exist when the next run
// begins, and messages that the former run had sent arrive after that.
func TestRestartedControllerIgnoresStateOfFormerRun(t *testing.T) {
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
				t.Fatal("jobs did not end")
			}
			w.startedOnce()
		})
	}
}
