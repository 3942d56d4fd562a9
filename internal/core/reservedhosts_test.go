package core

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pepperlever/internal/core/job"
)

// TestControllersConvergeOnReservedHosts guards against controllers that keep reserving different
// hosts, each leaving capacity to jobs of the other: the stored jobs must override the
// reservations remembered from the previous round.
func TestControllersConvergeOnReservedHosts(t *testing.T) {
	w := idleWorld(t, 8)
	w.allowRacingStarts, w.taskTime = true, 5*time.Minute
	accepted(t, w.submit("a", "req-free-1", 8, `,"vcpus":3.0`))
	w.started("req-free-1", 8)
	accepted(t, w.submit("b", "req-blue-1", 6, `,"vcpus":4.0`))
	accepted(t, w.submit("c", "req-free-2", 3, `,"vcpus":2.0`))
	w.run(time.Minute, nil) // longer than the timeout
	if n := len(w.cores["a"].scheduler.reservedFor); n == 0 {
		t.Fatal("no host is reserved")
	}
	names := w.cores["a"].machines.Names()
	need := job.Resources{CPUs: 4, MemoryGB: 1}
	for name, remembered := range map[string]map[string]job.Resources{
		"nothing":         nil,
		"the last hosts":  {names[6]: need, names[7]: need},
		"for small tasks": {names[0]: {CPUs: 2, MemoryGB: 1}},
		"all hosts": maps.Collect(func(yield func(string, job.Resources) bool) {
			for _, host := range names {
				if !yield(host, need) {
					return
				}
			}
		}),
	} {
		for _, node := range []string{w.leaderOf("blue"), w.leaderOf("free")} {
			c := w.cores[node]
			c.scheduler.reservedFor = maps.Clone(remembered)
			c.requestRound()
		}
		w.run(time.Second, nil)
		for _, node := range w.names {
			w.cores[node].requestRound()
		}
		w.run(time.Second, nil)
		want := fmt.Sprint(w.cores["a"].scheduler.reservedFor)
		for _, node := range w.names {
			if got := fmt.Sprint(w.cores[node].scheduler.reservedFor); got != want {
				t.Errorf("remembered %s: controller %s reserves %s, controller a %s", name, node, got, want)
			}
		}
	}
}
