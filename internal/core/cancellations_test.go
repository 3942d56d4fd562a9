package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// All tasks of a cancelled job end in time, also on a machine that hangs, and every controller says
// that the job is cancelled.
func TestCancelledJobLeavesItsMachinesInTime(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 6, ""))
	w.started("req-blue-1", 3)
	// One machine hangs, so that a stop does not reach its tasks.
	for _, f := range w.workers {
		if len(f.Tasks) > 0 {
			f.dead = true
			break
		}
	}
	if s := stateOf(t, w.cancelJob("b", "req-blue-1")); s.State != protocol.Cancelled {
		t.Fatalf("answer is %+v", s)
	}
	w.run(30*time.Second, nil)
	if n := w.onMachines("req-blue-1"); n != 0 {
		t.Errorf("%d tasks are left", n)
	}
	for _, n := range nodeNames {
		if s := stateOf(t, w.status(n, "req-blue-1")); s.State != protocol.Cancelled {
			t.Errorf("%s says %+v", n, s)
		}
	}
}

// Cancelled tasks on machines that hang end in time although the store goes down.
func TestCancelledTasksOnHungMachinesEndDuringOutage(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 2, ""))
	w.started("req-blue-1", 1)
	for _, f := range w.workers {
		f.dead = true
	}
	if s := stateOf(t, w.cancelJob("b", "req-blue-1")); s.State != protocol.Cancelled {
		t.Fatalf("answer is %+v", s)
	}
	w.run(time.Second, nil)
	w.outage = true
	w.run(29*time.Second, nil)
	if n := w.onMachines("req-blue-1"); n != 0 {
		t.Errorf("%d tasks are left", n)
	}
}

// Jobs are cancelled while bindings of their tasks are being written: no task is left.
func TestCancellationsDuringBindingWrites(t *testing.T) {
	w := newWorld(t).ready()
	for i := range 8 {
		id := fmt.Sprintf("req-free-%d", i)
		accepted(t, w.submit(nodeNames[i%3], id, 6, ""))
		w.run(time.Duration(i)*700*time.Millisecond, nil)
		if s := stateOf(t, w.cancelJob(nodeNames[(i+1)%3], id)); s.State != protocol.Cancelled && s.State != protocol.Done {
			t.Errorf("%s is %+v", id, s)
		}
	}
	w.run(25*time.Second, nil)
	for i := range 8 {
		if n := w.onMachines(fmt.Sprintf("req-free-%d", i)); n != 0 {
			t.Errorf("job %d has %d tasks left", i, n)
		}
	}
}
