package core

import (
	"testing"
	"time"
)

func TestGangRunsAsOneAttempt(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 4, `,"shape":"group","samePlace":true`))
	if !w.run(time.Minute, func() bool { return w.onMachines("req-blue-1") == 4 }) {
		t.Fatal("gang did not start all 4 tasks")
	}
	zones, attempts := map[string]bool{}, map[uint64]bool{}
	for _, f := range w.workers {
		for _, task := range f.Tasks {
			zones[f.Zone], attempts[task.Attempt] = true, true
		}
	}
	if len(zones) != 1 || len(attempts) != 1 {
		t.Errorf("gang has tasks in %d zones with %d attempts, want one zone and one attempt", len(zones), len(attempts))
	}
	if !w.run(time.Minute, w.finished("req-blue-1")) {
		t.Fatal("gang did not finish")
	}
}

func TestGangRestartsAsAWholeAfterLosingATask(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 4, `,"shape":"group"`))
	if !w.run(time.Minute, func() bool { return w.onMachines("req-blue-1") == 4 }) {
		t.Fatal("gang did not start all 4 tasks")
	}
	for _, f := range w.workers {
		if len(f.Tasks) > 0 {
			f.dead = true
			break
		}
	}
	for _, f := range w.workers {
		for k := range f.running {
			f.running[k] = w.now + 40*time.Second
		}
	}
	if !w.run(3*time.Minute, w.finished("req-blue-1")) {
		t.Fatal("gang did not finish")
	}
}
