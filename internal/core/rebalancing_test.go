package core

import (
	"slices"
	"testing"
	"time"
)

// busyWorld has at least that many workers, and work for all of them for long.
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

// A controller that is partitioned from the workers alone has none and looks like the least
// loaded one. Workers that fail to reach it must not be sent there again and again.
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

// Workers spread over a controller that has come back in few moves.
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

func TestRebalancingTargetIsTheLeastLoadedReachablePeer(t *testing.T) {
	inZone := func(nodes ...string) map[nodeZone]bool {
		zones := map[nodeZone]bool{}
		for _, node := range nodes {
			zones[nodeZone{node, "z1"}] = true
		}
		return zones
	}
	for name, c := range map[string]struct {
		workers    map[string]int
		zones      map[nodeZone]bool
		redirected map[string]string
		want       string
		surplus    int
	}{
		"least loaded":             {map[string]int{"a": 30, "b": 9, "c": 6}, inZone("b", "c"), nil, "c", 15},
		"not from this zone":       {map[string]int{"a": 30, "b": 9, "c": 6}, inZone("b"), nil, "b", 15},
		"no peer below its share":  {map[string]int{"a": 10, "b": 10, "c": 10}, inZone("b", "c"), nil, "", 0},
		"surplus too small":        {map[string]int{"a": 17, "b": 16, "c": 15}, inZone("b", "c"), nil, "", 1},
		"without workers, untried": {map[string]int{"a": 30, "b": 30}, inZone("b"), nil, "c", 10},
		"without workers, tried":   {map[string]int{"a": 30, "b": 30}, inZone("b"), map[string]string{"vm": "c"}, "", 10},
	} {
		r := newRebalancer()
		r.workers, r.zones = c.workers, c.zones
		if c.redirected != nil {
			r.redirected = c.redirected
		}
		got, surplus := r.target("a", "z1", []string{"b", "c"})
		if got != c.want || surplus != c.surplus {
			t.Errorf("%s: got %q with a surplus of %d, want %q with %d", name, got, surplus, c.want, c.surplus)
		}
	}
}

func TestRebalancingBackoffGrowsUntilAWorkerArrives(t *testing.T) {
	const lease = 10 * time.Second
	r := newRebalancer()
	r.workers = map[string]int{}
	now := time.Minute
	for _, want := range []time.Duration{lease, 2 * lease, 4 * lease, 8 * lease, 8 * lease} {
		r.redirect("vm", "a", "c")
		node, pause := r.recordArrival("vm", "a", now, lease)
		if node != "c" || pause != want || !r.isBackedOff("c", now) {
			t.Errorf("pause for %q of %v, want %v", node, pause, want)
		}
		now += pause
		if r.isBackedOff("c", now) {
			t.Errorf("still backed off after %v", pause)
		}
	}
	r.redirect("vm", "a", "c")
	if node, _ := r.recordArrival("vm", "c", now, lease); node != "" {
		t.Errorf("%s counts as unreached though the worker arrived", node)
	}
	r.redirect("vm", "a", "c")
	if _, pause := r.recordArrival("vm", "b", now, lease); pause != lease {
		t.Errorf("pause of %v after an arrival, want %v", pause, lease)
	}
}
