package core

import (
	"fmt"
	"testing"
	"time"
)

// Cancelled tasks end within the deadline whichever connections or controllers fail or lose the
// store, for less and for more time than the cancellation deadline (docs/incidents/apart.md).
func TestCancelledTasksEndInTimeUnderPartitions(t *testing.T) {
	const deadline = 30 * time.Second
	cuts := map[string]func(w *world, leader string){
		"nothing":                 func(*world, string) {},
		"all links":               func(w *world, _ string) { w.refuse(everyLink) },
		"all links of the leader": func(w *world, leader string) { w.refuse(func(f, t string) bool { return f == leader || t == leader }) },
		"links from the leader":   func(w *world, leader string) { w.refuse(func(f, _ string) bool { return f == leader }) },
		"links to the leader":     func(w *world, leader string) { w.refuse(func(_, t string) bool { return t == leader }) },
		"links to the fleet leader": func(w *world, _ string) {
			fleetLeader := w.cores["a"].fleet.leader
			w.refuse(func(_, t string) bool { return t == fleetLeader })
		},
		"every second link":          func(w *world, _ string) { w.refuse(func(f, t string) bool { return (f[0]+t[0])%2 == 1 }) },
		"all links, leader's store":  func(w *world, leader string) { w.refuse(everyLink); w.cutStore(leader) },
		"all links, another's store": func(w *world, leader string) { w.refuse(everyLink); w.cutStore(w.anotherNode(leader)) },
		"all links, store of three": func(w *world, leader string) {
			w.refuse(everyLink)
			for _, n := range []string{"a", "c", "e"} {
				w.cutStore(n)
			}
		},
		"all links, leader crashes": func(w *world, leader string) { w.refuse(everyLink); w.crash(leader); w.expire(leader) },
		"all links, one freezes":    func(w *world, leader string) { w.refuse(everyLink); w.freeze(w.anotherNode(leader)) },
		"all links, leader freezes": func(w *world, leader string) { w.refuse(everyLink); w.freeze(leader) },
	}
	for name, cut := range cuts {
		for _, deadlines := range []float64{0.5, 1, 2} {
			t.Run(fmt.Sprint(name, ", deadlines: ", deadlines), func(t *testing.T) {
				t.Parallel()
				machines := 20
				if name == "all links" {
					machines = 200
				}
				w, leader := loadedWorld(t, machines, "req-free-1")
				cut(w, leader)
				w.run(2*time.Second, nil)
				if a := w.cancelJob(w.nodeWithStore(), "req-free-1"); a.Status != 200 {
					t.Fatalf("cancellation: got status %d, want 200", a.Status)
				}
				w.run(time.Duration(deadlines*float64(deadline)), nil)
				w.heal()
				w.run(2*deadline, nil)
				if len(w.cancellationToldAt) > 0 {
					t.Error("the scenario ended before the deadline")
				}
			})
		}
	}
}

// A machine that reaches no controller stops its tasks when its lease expires, even if the cloud
// does not release the machine.
func TestIsolatedMachineStopsTasksWhenLeaseExpires(t *testing.T) {
	w, _ := loadedWorld(t, 20, "req-free-1")
	w.noCloud = true
	for _, f := range w.workers {
		w.cutWorkers[f.Machine] = true
	}
	w.cancelJob("a", "req-free-1")
	if w.run(10*time.Second, nil); w.onMachines("req-free-1") == 0 {
		t.Error("tasks ended before the lease expired")
	}
	if w.run(7*time.Second, nil); w.onMachines("req-free-1") > 0 {
		t.Errorf("got %d running tasks after the lease expired, want none", w.onMachines("req-free-1"))
	}
}

// Guards against a deposed leader that reports a cancelled job as done. A leader that was cut off
// from the store learns at the same time that it was replaced and that the job was cancelled and
// has ended, and must not mistake the deletion of the job for its completion.
func TestDeposedLeaderReportsCancelledJobAsCancelled(t *testing.T) {
	w := newWorldOf(t, fiveNodes)
	w.allowRacingStarts, w.taskTime = true, time.Minute
	w.ready()
	leader := w.cores["a"].teamBy["free"].leader
	accepted(t, w.submit(leader, "req-free-1", 12, ""))
	w.started("req-free-1", 3)
	w.cutStore(leader)
	w.run(5*time.Second, nil)
	w.cancelJob(w.nodeWithStore(), "req-free-1")
	if !w.run(time.Minute, func() bool { return w.kv[jobKey("req-free-1")].Version == 0 }) {
		t.Fatal("the cancelled job did not end")
	}
	w.restoreStore(leader)
	w.run(10*time.Second, nil)
	if s := stateOf(t, w.status(leader, "req-free-1")); s.State != "cancelled" {
		t.Errorf("%s: got state %+v, want cancelled", leader, s)
	}
}
