package core

import (
	"testing"
	"time"
)

func TestGangRunsAsOneAttempt(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 4, `,"shape":"group","samePlace":true`))
	if !w.run(time.Minute, func() bool { return w.onMachines("req-blue-1") == 4 }) {
		t.Fatal("gang does not start whole")
	}
	zones, attempts := map[string]bool{}, map[uint64]bool{}
	for _, f := range w.workers {
		for _, task := range f.Tasks {
			zones[f.Zone], attempts[task.Attempt] = true, true
		}
	}
	if len(zones) != 1 || len(attempts) != 1 {
		t.Errorf("gang is in %d zones with %d attempts", len(zones), len(attempts))
	}
	if !w.run(time.Minute, w.finished("req-blue-1")) {
		t.Fatal("gang does not end")
	}
}

func TestBrokenGangIsStoppedAndStartsAgainWhole(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 4, `,"shape":"group"`))
	if !w.run(time.Minute, func() bool { return w.onMachines("req-blue-1") == 4 }) {
		t.Fatal("gang does not start whole")
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
		t.Fatal("gang does not end")
	}
}
