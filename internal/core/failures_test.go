package core

import (
	"strings"
	"testing"
	"time"
)

// startsOf counts the starts of a job's tasks.
func (w *world) startsOf(id string) int {
	n := 0
	for task, times := range w.starts {
		if strings.HasPrefix(task, id+"/") {
			n += times
		}
	}
	return n
}

// A job that was submitted with a mistake fails wherever it runs. It is suspected, tried one
// task at a time, and no machine is returned for it.
func TestSuspectedJobNeitherOccupiesNorCordonsTheFleet(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 40, ""))
	if !w.run(2*time.Minute, w.finished("req-blue-1")) {
		t.Fatal("job does not end")
	}
	w.broken["req-free-1"] = true
	accepted(t, w.submit("b", "req-free-1", 30, ""))
	accepted(t, w.submit("c", "req-red-1", 30, ""))
	w.run(20*time.Second, nil)
	first := w.startsOf("req-free-1")
	w.run(30*time.Second, nil)
	if n := w.startsOf("req-free-1") - first; n > 4 {
		t.Errorf("%d more starts in half a minute", n)
	}
	for _, c := range w.cores {
		for id, reason := range c.autoscaler.returnReasons {
			t.Errorf("%s is returned: %s", id, reason)
		}
	}
	if !w.run(time.Minute, w.finished("req-red-1")) {
		t.Error("a sound job does not end beside it")
	}
	// A new leader knows what the one before had learned.
	before := w.startsOf("req-free-1")
	for _, n := range nodeNames {
		w.crash(n)
		w.expire(n)
		w.boot(n)
	}
	w.run(20*time.Second, nil)
	// Its tries begin again, with pauses of 2, 4 and 8 s.
	if n := w.startsOf("req-free-1") - before; n > 4 {
		t.Errorf("%d starts after a failover", n)
	}
}

// A job that failed on several machines by bad luck runs on as soon as one task succeeds.
func TestSuspicionEndsWithTheFirstSuccess(t *testing.T) {
	w := newWorld(t).ready()
	w.broken["req-blue-1"] = true
	accepted(t, w.submit("a", "req-blue-1", 12, ""))
	w.run(30*time.Second, nil)
	w.broken["req-blue-1"] = false
	if !w.run(3*time.Minute, w.finished("req-blue-1")) {
		t.Error("job does not end")
	}
}

// A machine on which all tasks fail does not keep jobs from ending on others.
func TestFaultyMachineIsReturnedAndItsTasksSucceedElsewhere(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 12, ""))
	if !w.run(time.Minute, w.finished("req-blue-1")) {
		t.Fatal("job does not end")
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
		t.Error("jobs do not end")
	}
}
