package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/settings"
)

// One, two, and all but one controllers have their workers only, and neither the store nor any
// peer: they redirect the workers, so that no machine is returned and no task lost.
func TestIsolatedControllerRedirectsItsWorkers(t *testing.T) {
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
				w.checkRejectsUsers(n) // it does not know yet
				w.send(n, StoreHealth{})
			}
			w.run(40*time.Second, nil)
			for _, n := range w.names[:alone] {
				w.checkRejectsUsers(n)
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

// In a zone that is cut off workers have nowhere to go.
func TestNoRedirectFromAZoneThatIsCutOff(t *testing.T) {
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
		t.Error("sent on although the store is back")
	}
}
