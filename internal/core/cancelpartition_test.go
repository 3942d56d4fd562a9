package core

import (
	"fmt"
	"testing"
	"time"
)

// Cancelled tasks end in time whichever connections, controllers or accesses to the store fail,
// for less and for more time than a cancellation may take (docs/incidents/apart.md).
func TestCancelledTasksEndInTimeUnderPartitions(t *testing.T) {
	const allowed = 30 * time.Second
	cuts := map[string]func(w *world, home string){
		"nothing":               func(*world, string) {},
		"all links":             func(w *world, _ string) { w.refuse(everyLink) },
		"all links of the home": func(w *world, home string) { w.refuse(func(f, t string) bool { return f == home || t == home }) },
		"links from the home":   func(w *world, home string) { w.refuse(func(f, _ string) bool { return f == home }) },
		"links to the home":     func(w *world, home string) { w.refuse(func(_, t string) bool { return t == home }) },
		"links to the renter": func(w *world, _ string) {
			r := w.cores["a"].fleet.leader
			w.refuse(func(_, t string) bool { return t == r })
		},
		"every second link":          func(w *world, _ string) { w.refuse(func(f, t string) bool { return (f[0]+t[0])%2 == 1 }) },
		"all links, home's store":    func(w *world, home string) { w.refuse(everyLink); w.cutStore(home) },
		"all links, another's store": func(w *world, home string) { w.refuse(everyLink); w.cutStore(w.anotherNode(home)) },
		"all links, store of three": func(w *world, home string) {
			w.refuse(everyLink)
			for _, n := range []string{"a", "c", "e"} {
				w.cutStore(n)
			}
		},
		"all links, home crashes": func(w *world, home string) { w.refuse(everyLink); w.crash(home); w.expire(home) },
		"all links, one freezes":  func(w *world, home string) { w.refuse(everyLink); w.freeze(w.anotherNode(home)) },
		"all links, home freezes": func(w *world, home string) { w.refuse(everyLink); w.freeze(home) },
	}
	for name, cut := range cuts {
		for _, part := range []float64{0.5, 1, 2} {
			t.Run(fmt.Sprint(name, " for ", part), func(t *testing.T) {
				t.Parallel()
				machines := 20
				if name == "all links" {
					machines = 200
				}
				w, home := loadedWorld(t, machines, "req-free-1")
				cut(w, home)
				w.run(2*time.Second, nil)
				if a := w.cancelJob(w.nodeWithStore(), "req-free-1"); a.Status != 200 {
					t.Fatalf("cancellation got %d", a.Status)
				}
				w.run(time.Duration(part*float64(allowed)), nil)
				w.heal()
				w.run(2*allowed, nil)
				if len(w.cancellationToldAt) > 0 {
					t.Error("the day ended before the time allowed")
				}
			})
		}
	}
}

// A machine that reaches no controller ends its tasks with its lease, also where the cloud does
// not take it back.
func TestIsolatedMachineEndsTasksWithItsLease(t *testing.T) {
	w, _ := loadedWorld(t, 20, "req-free-1")
	w.noCloud = true
	for _, f := range w.workers {
		w.cutWorkers[f.Machine] = true
	}
	w.cancelJob("a", "req-free-1")
	if w.run(10*time.Second, nil); w.onMachines("req-free-1") == 0 {
		t.Error("tasks are gone before the lease is over")
	}
	if w.run(7*time.Second, nil); w.onMachines("req-free-1") > 0 {
		t.Errorf("%d tasks run on after it", w.onMachines("req-free-1"))
	}
}

// A leader that was cut from the store learns all at once that it is deposed, and that a job was
// cancelled and has ended. It does not take the job's later writes for those of a job that
// was done.
func TestDeposedLeaderReportsCancelledJobAsCancelled(t *testing.T) {
	w := newWorldOf(t, fiveNodes)
	w.allowRacingStarts, w.taskTime = true, time.Minute
	w.ready()
	home := w.cores["a"].teamBy["free"].leader
	accepted(t, w.submit(home, "req-free-1", 12, ""))
	w.started("req-free-1", 3)
	w.cutStore(home)
	w.run(5*time.Second, nil)
	w.cancelJob(w.nodeWithStore(), "req-free-1")
	if !w.run(time.Minute, func() bool { return w.kv[jobKey("req-free-1")].Version == 0 }) {
		t.Fatal("the cancelled job does not end")
	}
	w.restoreStore(home)
	w.run(10*time.Second, nil)
	if s := stateOf(t, w.status(home, "req-free-1")); s.State != "cancelled" {
		t.Errorf("%s says %+v", home, s)
	}
}
