package core

import (
	"slices"
	"testing"
	"time"
)

// busyWorld has that many workers and more, and work for all of them for long.
func busyWorld(t *testing.T, workers int) *world {
	t.Helper()
	w := newWorld(t).ready()
	for range workers {
		w.addWorker("z1", false)
	}
	accepted(t, w.submit("a", "req-free-1", 20000, ""))
	w.run(20*time.Second, nil)
	return w
}

// A controller that is cut off from the workers alone hears none and so looked
// like the one to send them to: each sent one failed to reach it, came back and
// was sent again, 500 times a minute on a recorded day.
func TestRebalancingAvoidsControllersThatWorkersCannotReach(t *testing.T) {
	w := busyWorld(t, 12)
	w.unreachableNodes["c"] = true
	w.run(20*time.Second, nil)
	before := w.redirected["c"]
	w.run(30*time.Second, nil)
	if n := w.redirected["c"] - before; n > 6 {
		t.Errorf("%d workers were sent to c, which they cannot reach", n)
	}
	w.unreachableNodes["c"] = false
	w.run(2*time.Minute, nil)
	if n := len(w.cores["c"].agents.byMachine); n < 3 {
		t.Errorf("c hears %d workers again", n)
	}
}

func TestRebalancingDoesNotOscillate(t *testing.T) {
	w := busyWorld(t, 30)
	w.run(20*time.Second, nil)
	w.crash("b")
	w.expire("b")
	w.run(20*time.Second, nil)
	w.boot("b")
	sum := func() (n int) {
		for _, node := range nodeNames {
			n += w.redirected[node]
		}
		return n
	}
	before := sum()
	w.run(40*time.Second, nil)
	if n := sum() - before; n > len(w.workers)*2/3 {
		t.Errorf("%d moves of %d workers to spread them over one more node", n, len(w.workers))
	}
	var heard []int
	for _, node := range nodeNames {
		heard = append(heard, len(w.cores[node].agents.byMachine))
	}
	if most, least := slices.Max(heard), slices.Min(heard); most > 2*least {
		t.Errorf("controllers hear %v workers", heard)
	}
}
