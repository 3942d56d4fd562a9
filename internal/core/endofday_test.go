package core

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pepperlever/internal/settings"
)

// A controller that had its workers only kept them, unheard by the others, whose renter
// gave all of them back with what ran on them. One, two, and all but one in that state.
func TestIsolatedControllerSendsItsWorkersOn(t *testing.T) {
	for _, alone := range []int{1, 2, 4} {
		t.Run(fmt.Sprint(alone), func(t *testing.T) {
			t.Parallel()
			w := gpuWorld(t, 30, 0)
			w.taskTime = 10 * time.Minute
			accepted(t, w.submit("a", "req-free-1", 60, ""))
			w.started("req-free-1", 60)
			for _, n := range w.names[:alone] {
				w.cutStore(n)
				w.refuse(func(f, t string) bool { return f == n || t == n })
				w.confirmsNothing(n) // it does not know yet
				w.send(n, StoreHealth{})
			}
			w.run(40*time.Second, nil)
			for _, n := range w.names[:alone] {
				w.confirmsNothing(n)
			}
			if n := w.onMachines("req-free-1"); len(w.workers) != 30 || n != 60 {
				t.Errorf("%d of 30 machines and %d of 60 tasks are left", len(w.workers), n)
			}
			w.heal()
			w.run(20*time.Second, nil)
			w.startedOnce()
		})
	}
}

// confirmsNothing checks that a controller without the state service turns all users away.
func (w *world) confirmsNothing(node string) {
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

// In a zone that is cut off no worker could be heard elsewhere.
func TestNoWorkerIsSentOnInAZoneThatIsCutOff(t *testing.T) {
	c := New(testSettings("a"), settings.DefaultPolicy(), "a1")
	c.replica.loaded, c.storeOK = true, false
	c.now.Steady = time.Minute
	c.checkIsolation()
	c.now.Steady += 5 * time.Second
	away := func(machine, zone string) bool {
		return c.isolation.redirect(machine, zone, c.now.Steady, c.reportInterval())
	}
	for range 3 {
		if away("vm-1", "z1") {
			t.Fatal("sent on although no other zone is heard")
		}
	}
	if !away("vm-2", "z2") || away("vm-2", "z2") || !away("vm-1", "z1") {
		t.Error("not sent on once each with two zones heard")
	}
	c.storeOK = true
	c.checkIsolation()
	if away("vm-3", "z1") {
		t.Error("sent on although the state service is back")
	}
}

// The former run's lease, home, starts and claims are all still there when its successor
// begins, and what it had sent comes after that.
func TestControllerThatIsBackAtOnceResumesNothingOld(t *testing.T) {
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
				home, renter := w.cores["a"].teamBy["free"].leader, w.cores["a"].fleet.leader
				for _, node := range []string{home, renter, w.names[n%5]} {
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
