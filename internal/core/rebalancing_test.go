package core

import (
	"slices"
	"testing"
	"time"
)

// newBusySimCluster returns a simulated cluster with at least the given number of workers and
// enough tasks to keep all of them busy.
func newBusySimCluster(t *testing.T, workers int) *simCluster {
	t.Helper()
	cluster := newSimCluster(t).waitUntilReady()
	for range workers {
		cluster.addWorker("z1", false)
	}
	requireAccepted(t, cluster.submit("a", "req-free-1", 20000, ""))
	cluster.run(20*time.Second, nil)
	return cluster
}

// A controller that is partitioned from the workers, but not from its peers, has no workers and
// seems the least loaded. Workers that fail to reach it must not be redirected there again and
// again.
func TestRebalancingAvoidsControllersUnreachableFromWorkers(t *testing.T) {
	cluster := newBusySimCluster(t, 12)
	cluster.unreachableNodes["c"] = true
	cluster.run(20*time.Second, nil)
	before := cluster.redirected["c"]
	cluster.run(30*time.Second, nil)
	if n := cluster.redirected["c"] - before; n > 6 {
		t.Errorf("%d workers were redirected to c, which they cannot reach; want at most 6", n)
	}
	cluster.unreachableNodes["c"] = false
	cluster.run(2*time.Minute, nil)
	if n := len(cluster.cores["c"].agents.byMachine); n < 3 {
		t.Errorf("%d workers report to c again, want at least 3", n)
	}
}

// Workers spread to a restarted controller with few redirects.
func TestRebalancingDoesNotOscillate(t *testing.T) {
	cluster := newBusySimCluster(t, 30)
	cluster.run(20*time.Second, nil)
	cluster.crash("b")
	cluster.expire("b")
	cluster.run(20*time.Second, nil)
	cluster.boot("b")
	redirects := func() (n int) {
		for _, node := range nodeNames {
			n += cluster.redirected[node]
		}
		return n
	}
	before := redirects()
	cluster.run(40*time.Second, nil)
	if n := redirects() - before; n > len(cluster.workers)*2/3 {
		t.Errorf("%d redirects of %d workers after a controller was restarted, want at most two thirds", n, len(cluster.workers))
	}
	var workersByNode []int
	for _, node := range nodeNames {
		workersByNode = append(workersByNode, len(cluster.cores[node].agents.byMachine))
	}
	if most, least := slices.Max(workersByNode), slices.Min(workersByNode); most > 2*least {
		t.Errorf("got %v workers per controller, want none with more than twice the workers of another", workersByNode)
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
	for name, test := range map[string]struct {
		workers    map[string]int
		zones      map[nodeZone]bool
		redirected map[string]string
		want       string
		surplus    int
	}{
		"least loaded":                   {map[string]int{"a": 30, "b": 9, "c": 6}, inZone("b", "c"), nil, "c", 15},
		"least loaded not reachable":     {map[string]int{"a": 30, "b": 9, "c": 6}, inZone("b"), nil, "b", 15},
		"no peer below its share":        {map[string]int{"a": 10, "b": 10, "c": 10}, inZone("b", "c"), nil, "", 0},
		"surplus too small":              {map[string]int{"a": 17, "b": 16, "c": 15}, inZone("b", "c"), nil, "", 1},
		"without workers, not tried yet": {map[string]int{"a": 30, "b": 30}, inZone("b"), nil, "c", 10},
		"without workers, being tried":   {map[string]int{"a": 30, "b": 30}, inZone("b"), map[string]string{"vm": "c"}, "", 10},
	} {
		r := newRebalancer()
		r.workers, r.zones = test.workers, test.zones
		if test.redirected != nil {
			r.redirected = test.redirected
		}
		got, surplus := r.target("a", "z1", []string{"b", "c"})
		if got != test.want || surplus != test.surplus {
			t.Errorf("%s: got %q with a surplus of %d, want %q with %d", name, got, surplus, test.want, test.surplus)
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
		node, backoffTime := r.recordArrival("vm", "a", now, lease)
		if node != "c" || backoffTime != want || !r.isBackedOff("c", now) {
			t.Errorf("controller %q has a backoff of %v, want %v", node, backoffTime, want)
		}
		now += backoffTime
		if r.isBackedOff("c", now) {
			t.Errorf("still backed off after %v", backoffTime)
		}
	}
	r.redirect("vm", "a", "c")
	if node, _ := r.recordArrival("vm", "c", now, lease); node != "" {
		t.Errorf("%s counts as unreachable although the worker arrived", node)
	}
	r.redirect("vm", "a", "c")
	if _, backoffTime := r.recordArrival("vm", "b", now, lease); backoffTime != lease {
		t.Errorf("got a backoff of %v after an arrival, want %v", backoffTime, lease)
	}
}
