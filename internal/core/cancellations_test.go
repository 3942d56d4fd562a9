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
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-blue-1", 6, ""))
	cluster.waitUntilStarted("req-blue-1", 3)
	// One machine hangs, so stop commands do not reach its tasks.
	for _, f := range cluster.workers {
		if len(f.Tasks) > 0 {
			f.dead = true
			break
		}
	}
	if s := requireJobState(t, cluster.cancelJob("b", "req-blue-1")); s.State != protocol.Cancelled {
		t.Fatalf("got state %+v, want cancelled", s)
	}
	cluster.run(30*time.Second, nil)
	if n := cluster.onMachines("req-blue-1"); n != 0 {
		t.Errorf("got %d running tasks, want none", n)
	}
	for _, n := range nodeNames {
		if s := requireJobState(t, cluster.status(n, "req-blue-1")); s.State != protocol.Cancelled {
			t.Errorf("%s: got state %+v, want cancelled", n, s)
		}
	}
}

// Cancelled tasks on hung machines end within the deadline even if the store becomes unavailable.
func TestCancelledTasksOnHungMachinesEndDuringOutage(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-blue-1", 2, ""))
	cluster.waitUntilStarted("req-blue-1", 1)
	for _, f := range cluster.workers {
		f.dead = true
	}
	if s := requireJobState(t, cluster.cancelJob("b", "req-blue-1")); s.State != protocol.Cancelled {
		t.Fatalf("got state %+v, want cancelled", s)
	}
	cluster.run(time.Second, nil)
	cluster.outage = true
	cluster.run(29*time.Second, nil)
	if n := cluster.onMachines("req-blue-1"); n != 0 {
		t.Errorf("got %d running tasks, want none", n)
	}
}

// Jobs that are cancelled while the bindings of their tasks are being written leave no tasks
// running.
func TestCancellationsDuringBindingWrites(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	for i := range 8 {
		id := fmt.Sprintf("req-free-%d", i)
		requireAccepted(t, cluster.submit(nodeNames[i%3], id, 6, ""))
		cluster.run(time.Duration(i)*700*time.Millisecond, nil)
		if s := requireJobState(t, cluster.cancelJob(nodeNames[(i+1)%3], id)); s.State != protocol.Cancelled && s.State != protocol.Done {
			t.Errorf("%s: got state %+v, want cancelled or done", id, s)
		}
	}
	cluster.run(25*time.Second, nil)
	for i := range 8 {
		if n := cluster.onMachines(fmt.Sprintf("req-free-%d", i)); n != 0 {
			t.Errorf("job %d: got %d running tasks, want none", i, n)
		}
	}
}
