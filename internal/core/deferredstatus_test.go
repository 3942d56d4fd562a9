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

// A controller whose replica is behind, and that hears nobody, does not call a job queued of
// which another one may already have said that it is cancelled with what it awaits.
func TestStatusOfAWaitingJobIsNoOlderThanTheRequest(t *testing.T) {
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
	w.lateWrite = func(node string, e StoreTxn) time.Duration { // the cascade is not stored meanwhile
		if node == leader && slices.ContainsFunc(e.Txn.Then, func(ch protocol.Change) bool { return strings.HasPrefix(ch.Delete, keyJob) }) {
			return time.Minute
		}
		return 0
	}
	w.refuse(func(f, to string) bool { return f == behind || to == behind })
	if a := w.cancelJob(w.leaderOf("free"), "req-free-1"); a.Status != http.StatusOK {
		t.Fatalf("cancellation got %d", a.Status)
	}
	c := w.cores[behind]
	if c.jobs["req-blue-2"] == nil || c.cancelled("req-free-1") {
		t.Fatal("the controller is not behind")
	}
	for range 5 {
		if got := w.stateSeenBy(behind, "req-blue-2"); got != "" && got != protocol.Cancelled {
			t.Fatalf("it is %s, by a controller that has not heard of the cancellation", got)
		}
	}
	if _, stored := w.state("req-blue-2"); stored {
		t.Fatal("the store tells the cancellation by now")
	}
	w.slowWatcher, w.lateWrite = "", nil
	w.restore()
	w.run(5*time.Second, nil)
	if got := w.stateSeenBy(behind, "req-blue-2"); got != protocol.Cancelled {
		t.Errorf("it is %q once its replica has caught up", got)
	}
}

// What a job awaits has ended before any controller had read the stored state: each of them
// reads what became of it before it answers.
func TestStatusWaitsForTheDependencyLookup(t *testing.T) {
	w := idleWorld(t, 10)
	w.taskTime = time.Second
	for _, id := range []string{"req-free-1", "req-free-2"} {
		accepted(t, w.submit("a", id, 1, ""))
	}
	w.cancelJob("b", "req-free-1")
	if !w.run(time.Minute, func() bool { return w.finished("req-free-2")() && w.kv[jobKey("req-free-1")].Version == 0 }) {
		t.Fatal("jobs do not end")
	}
	w.stopAllFor(time.Second)
	w.recover()
	w.ready()
	for id, want := range map[string]string{"req-free-1": protocol.Cancelled, "req-free-2": protocol.Queued} {
		waits := "req-blue-after-" + id
		s, err := job.Parse([]byte(submission(waits, "blue", 1, awaiting(id)+`,"vcpus":4.0,"builds":["none"]`)), protocol.MaxBody)
		if err != nil {
			t.Fatal(err)
		}
		w.change(protocol.Change{Put: jobKey(waits), Value: job.New(*s, w.cores["a"].limits.defaultChunkSize(), 0).Head()})
		w.step("a")
		for _, node := range w.names {
			if got := w.stateSeenBy(node, waits); got != "" && got != want {
				t.Errorf("%s says that %s is %s, want %s", node, waits, got, want)
			}
		}
		w.run(3*time.Second, nil)
		if got := w.stateSeenBy("c", waits); got != want {
			t.Errorf("%s is %q, want %s", waits, got, want)
		}
	}
}
