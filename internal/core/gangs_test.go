package core

import (
	"testing"
	"time"
)

func TestGangRunsAsOneAttempt(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-blue-1", 4, `,"shape":"group","samePlace":true`))
	if !cluster.run(time.Minute, func() bool { return cluster.onMachines("req-blue-1") == 4 }) {
		t.Fatal("gang did not start all 4 tasks")
	}
	zones, attempts := map[string]bool{}, map[uint64]bool{}
	for _, f := range cluster.workers {
		for _, task := range f.Tasks {
			zones[f.Zone], attempts[task.Attempt] = true, true
		}
	}
	if len(zones) != 1 || len(attempts) != 1 {
		t.Errorf("gang has tasks in %d zones with %d attempts, want one zone and one attempt", len(zones), len(attempts))
	}
	if !cluster.run(time.Minute, cluster.allDone("req-blue-1")) {
		t.Fatal("gang did not end")
	}
}

func TestGangRestartsAsAWholeAfterLosingATask(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-blue-1", 4, `,"shape":"group"`))
	if !cluster.run(time.Minute, func() bool { return cluster.onMachines("req-blue-1") == 4 }) {
		t.Fatal("gang did not start all 4 tasks")
	}
	for _, f := range cluster.workers {
		if len(f.Tasks) > 0 {
			f.dead = true
			break
		}
	}
	for _, f := range cluster.workers {
		for k := range f.running {
			f.running[k] = cluster.now + 40*time.Second
		}
	}
	if !cluster.run(3*time.Minute, cluster.allDone("req-blue-1")) {
		t.Fatal("gang did not end")
	}
}
