package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// All tasks of a cancelled job end within the deadline, even on a hung machine, and every
// controller reports the job as cancelled.
func TestCancelledJobEndsWithinDeadline(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 6, ""))
	w.started("req-blue-1", 3)
	// One machine hangs, so stop commands do not reach its tasks.
	for _, f := range w.workers {
		if len(f.Tasks) > 0 {
			f.dead = true
			break
		}
	}
	if s := stateOf(t, w.cancelJob("b", "req-blue-1")); s.State != protocol.Cancelled {
		t.Fatalf("got state %+v, want cancelled", s)
	}
	w.run(30*time.Second, nil)
	if n := w.onMachines("req-blue-1"); n != 0 {
		t.Errorf("got %d running tasks, want none", n)
	}
	for _, n := range nodeNames {
		if s := stateOf(t, w.status(n, "req-blue-1")); s.State != protocol.Cancelled {
			t.Errorf("%s: got state %+v, want cancelled", n, s)
		}
	}
}

// Cancelled tasks on hung machines end within the deadline even if the store becomes unavailable.
func TestCancelledTasksOnHungMachinesEndDuringOutage(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 2, ""))
	w.started("req-blue-1", 1)
	for _, f := range w.workers {
		f.dead = true
	}
	if s := stateOf(t, w.cancelJob("b", "req-blue-1")); s.State != protocol.Cancelled {
		t.Fatalf("got state %+v, want cancelled", s)
	}
	w.run(time.Second, nil)
	w.outage = true
	w.run(29*time.Second, nil)
	if n := w.onMachines("req-blue-1"); n != 0 {
		t.Errorf("got %d running tasks, want none", n)
	}
}

// Jobs that are cancelled while the bindings of their tasks are being written leave no tasks
// running.
func TestCancellationsDuringBindingWrites(t *testing.T) {
	w := newWorld(t).ready()
	for i := range 8 {
		id := fmt.Sprintf("req-free-%d", i)
		accepted(t, w.submit(nodeNames[i%3], id, 6, ""))
		w.run(time.Duration(i)*700*time.Millisecond, nil)
		if s := stateOf(t, w.cancelJob(nodeNames[(i+1)%3], id)); s.State != protocol.Cancelled && s.State != protocol.Done {
			t.Errorf("%s: got state %+v, want cancelled or done", id, s)
		}
	}
	w.run(25*time.Second, nil)
	for i := range 8 {
		if n := w.onMachines(fmt.Sprintf("req-free-%d", i)); n != 0 {
			t.Errorf("job %d: got %d running tasks, want none", i, n)
		}
	}
}
