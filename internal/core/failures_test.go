package core

import (
	"strings"
	"testing"
	"time"
)

// startsOf returns the number of task starts of a job.
func (w *world) startsOf(id string) int {
	n := 0
	for task, times := range w.starts {
		if strings.HasPrefix(task, id+"/") {
			n += times
		}
	}
	return n
}

// A faulty job fails wherever it runs. It becomes suspected, runs one task at a time, and no
// machine is returned because of its failures.
func TestSuspectedJobDoesNotOccupyOrCordonMachines(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 40, ""))
	if !w.run(2*time.Minute, w.finished("req-blue-1")) {
		t.Fatal("the job did not end")
	}
	w.broken["req-free-1"] = true
	accepted(t, w.submit("b", "req-free-1", 30, ""))
	accepted(t, w.submit("c", "req-red-1", 30, ""))
	w.run(20*time.Second, nil)
	first := w.startsOf("req-free-1")
	w.run(30*time.Second, nil)
	if n := w.startsOf("req-free-1") - first; n > 4 {
		t.Errorf("got %d more starts in 30 s, want at most 4", n)
	}
	for _, c := range w.cores {
		for id, reason := range c.autoscaler.returnReasons {
			t.Errorf("machine %s is returned: %s", id, reason)
		}
	}
	if !w.run(time.Minute, w.finished("req-red-1")) {
		t.Error("another job did not end meanwhile")
	}
	// A new leader has the failure information of its predecessor.
	before := w.startsOf("req-free-1")
	for _, n := range nodeNames {
		w.crash(n)
		w.expire(n)
		w.boot(n)
	}
	w.run(20*time.Second, nil)
	// The canary starts begin again, with backoffs of 2, 4 and 8 s.
	if n := w.startsOf("req-free-1") - before; n > 4 {
		t.Errorf("got %d starts after a failover, want at most 4", n)
	}
}

// A job that is suspected although it is not faulty runs normally once one of its tasks has
// succeeded.
func TestSuspicionEndsWithTheFirstSuccess(t *testing.T) {
	w := newWorld(t).ready()
	w.broken["req-blue-1"] = true
	accepted(t, w.submit("a", "req-blue-1", 12, ""))
	w.run(30*time.Second, nil)
	w.broken["req-blue-1"] = false
	if !w.run(3*time.Minute, w.finished("req-blue-1")) {
		t.Error("the job did not end")
	}
}

// Jobs end on other machines although all tasks fail on one of them.
func TestTasksOfFaultyMachineSucceedElsewhere(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 12, ""))
	if !w.run(time.Minute, w.finished("req-blue-1")) {
		t.Fatal("the job did not end")
	}
	var faulty string
	for id := range w.workers {
		faulty = max(faulty, id)
	}
	w.faulty[faulty] = true
	for _, id := range []string{"req-blue-2", "req-blue-3", "req-red-1"} {
		accepted(t, w.submit("b", id, 12, ""))
	}
	if !w.run(2*time.Minute, w.finished("req-blue-2", "req-blue-3", "req-red-1")) {
		t.Error("the jobs did not end")
	}
}
