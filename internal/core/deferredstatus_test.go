package core

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// Guards against a stale status of a blocked job: a controller that is partitioned from all others
// and whose replica lags must not report a job as queued if another controller may already have
// reported it as cancelled because a dependency was cancelled.
func TestStatusOfBlockedJobIsNotStale(t *testing.T) {
	w := idleWorld(t, 10)
	w.taskTime = 5 * time.Minute
	accepted(t, w.submit("a", "req-free-1", 2, ""))
	accepted(t, w.submit("b", "req-blue-1", 2, awaiting("req-free-1")))
	accepted(t, w.submit("b", "req-blue-2", 2, awaiting("req-blue-1")))
	w.started("req-free-1", 2)
	behind := ""
	for _, node := range w.names {
		if node != w.leaderOf("free") && node != w.leaderOf("blue") {
			behind = node
		}
	}
	w.slowWatcher = behind
	leader := w.leaderOf("blue")
	w.lateWrite = func(node string, e StoreTxn) time.Duration { // keeps the cascaded cancellation from being stored
		if node == leader && slices.ContainsFunc(e.Txn.Then, func(ch protocol.Change) bool { return strings.HasPrefix(ch.Delete, keyJob) }) {
			return time.Minute
		}
		return 0
	}
	w.refuse(func(f, to string) bool { return f == behind || to == behind })
	if a := w.cancelJob(w.leaderOf("free"), "req-free-1"); a.Status != http.StatusOK {
		t.Fatalf("cancellation: got status %d, want 200", a.Status)
	}
	c := w.cores[behind]
	if c.jobs["req-blue-2"] == nil || c.cancelled("req-free-1") {
		t.Fatal("the replica does not lag")
	}
	for range 5 {
		if got := w.stateSeenBy(behind, "req-blue-2"); got != "" && got != protocol.Cancelled {
			t.Fatalf("got state %s from a controller that does not know of the cancellation, want cancelled or no answer", got)
		}
	}
	if _, stored := w.state("req-blue-2"); stored {
		t.Fatal("the cascaded cancellation has been stored already")
	}
	w.slowWatcher, w.lateWrite = "", nil
	w.restore()
	w.run(5*time.Second, nil)
	if got := w.stateSeenBy(behind, "req-blue-2"); got != protocol.Cancelled {
		t.Errorf("got state %q once the replica has caught up, want cancelled", got)
	}
}

// The dependency of a job ended before any controller loaded the stored state. Each controller
// looks up the dependency's final state before it reports the state of the dependent.
func TestStatusWaitsForDependencyLookup(t *testing.T) {
	w := idleWorld(t, 10)
	w.taskTime = time.Second
	for _, id := range []string{"req-free-1", "req-free-2"} {
		accepted(t, w.submit("a", id, 1, ""))
	}
	w.cancelJob("b", "req-free-1")
	if !w.run(time.Minute, func() bool { return w.finished("req-free-2")() && w.kv[jobKey("req-free-1")].Version == 0 }) {
		t.Fatal("the dependencies did not end")
	}
	w.stopAllFor(time.Second)
	w.recover()
	w.ready()
	for id, want := range map[string]string{"req-free-1": protocol.Cancelled, "req-free-2": protocol.Queued} {
		dependent := "req-blue-after-" + id
		s, err := job.Parse([]byte(submission(dependent, "blue", 1, awaiting(id)+`,"vcpus":4.0,"builds":["none"]`)), protocol.MaxBody)
		if err != nil {
			t.Fatal(err)
		}
		w.change(protocol.Change{Put: jobKey(dependent), Value: job.New(*s, w.cores["a"].limits.defaultChunkSize(), 0).Head()})
		w.step("a")
		for _, node := range w.names {
			if got := w.stateSeenBy(node, dependent); got != "" && got != want {
				t.Errorf("%s: got state of %s %s, want %s", node, dependent, got, want)
			}
		}
		w.run(3*time.Second, nil)
		if got := w.stateSeenBy("c", dependent); got != want {
			t.Errorf("%s: got state %q, want %s", dependent, got, want)
		}
	}
}
