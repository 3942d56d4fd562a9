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

// A controller that is partitioned from all others and whose replica lags must not report a job as
// queued if another controller may already have reported it as cancelled because a dependency was
// cancelled.
func TestStatusOfBlockedJobIsNotStale(t *testing.T) {
	cluster := newIdleSimCluster(t, 10)
	cluster.taskTime = 5 * time.Minute
	requireAccepted(t, cluster.submit("a", "req-free-1", 2, ""))
	requireAccepted(t, cluster.submit("b", "req-blue-1", 2, dependenciesField("req-free-1")))
	requireAccepted(t, cluster.submit("b", "req-blue-2", 2, dependenciesField("req-blue-1")))
	cluster.waitUntilStarted("req-free-1", 2)
	behind := ""
	for _, node := range cluster.names {
		if node != cluster.leaderOf("free") && node != cluster.leaderOf("blue") {
			behind = node
		}
	}
	cluster.blockedWatcher = behind
	leader := cluster.leaderOf("blue")
	cluster.lateWrite = func(node string, e StoreTxn) time.Duration { // keeps the cascaded cancellation from being stored
		if node == leader && slices.ContainsFunc(e.Txn.Then, func(ch protocol.Change) bool { return strings.HasPrefix(ch.Delete, keyJob) }) {
			return time.Minute
		}
		return 0
	}
	cluster.disconnectLinks(func(f, to string) bool { return f == behind || to == behind })
	if a := cluster.cancelJob(cluster.leaderOf("free"), "req-free-1"); a.Status != http.StatusOK {
		t.Fatalf("cancellation: got status %d, want 200", a.Status)
	}
	c := cluster.cores[behind]
	if c.jobs["req-blue-2"] == nil || c.cancelled("req-free-1") {
		t.Fatal("the replica does not lag")
	}
	for range 5 {
		if got := cluster.stateSeenBy(behind, "req-blue-2"); got != "" && got != protocol.Cancelled {
			t.Fatalf("got state %s from a controller that does not know of the cancellation, want cancelled or no answer", got)
		}
	}
	if _, stored := cluster.state("req-blue-2"); stored {
		t.Fatal("the cascaded cancellation has been stored already")
	}
	cluster.blockedWatcher, cluster.lateWrite = "", nil
	cluster.restoreLinks()
	cluster.run(5*time.Second, nil)
	if got := cluster.stateSeenBy(behind, "req-blue-2"); got != protocol.Cancelled {
		t.Errorf("got state %q once the replica has caught up, want cancelled", got)
	}
}

// The dependency of a job ended before any controller loaded the stored state. Each controller
// looks up the dependency's final state before it reports the state of the dependent.
func TestStatusWaitsForDependencyLookup(t *testing.T) {
	cluster := newIdleSimCluster(t, 10)
	cluster.taskTime = time.Second
	for _, id := range []string{"req-free-1", "req-free-2"} {
		requireAccepted(t, cluster.submit("a", id, 1, ""))
	}
	cluster.cancelJob("b", "req-free-1")
	if !cluster.run(time.Minute, func() bool { return cluster.allDone("req-free-2")() && cluster.kv[jobKey("req-free-1")].Version == 0 }) {
		t.Fatal("the dependencies did not end")
	}
	cluster.stopAllFor(time.Second)
	cluster.recover()
	cluster.waitUntilReady()
	for id, want := range map[string]string{"req-free-1": protocol.Cancelled, "req-free-2": protocol.Queued} {
		dependent := "req-blue-after-" + id
		s, err := job.Parse([]byte(submission(dependent, "blue", 1, dependenciesField(id)+`,"vcpus":4.0,"builds":["none"]`)), protocol.MaxBody)
		if err != nil {
			t.Fatal(err)
		}
		cluster.change(protocol.Change{Put: jobKey(dependent), Value: job.New(*s, cluster.cores["a"].limits.defaultChunkSize(), 0).Head()})
		cluster.step("a")
		for _, node := range cluster.names {
			if got := cluster.stateSeenBy(node, dependent); got != "" && got != want {
				t.Errorf("%s: got state of %s %s, want %s", node, dependent, got, want)
			}
		}
		cluster.run(3*time.Second, nil)
		if got := cluster.stateSeenBy("c", dependent); got != want {
			t.Errorf("%s: got state %q, want %s", dependent, got, want)
		}
	}
}

// Guards against "pending" for a job that was called cancelled before: the job had no final state when the
// store was asked, ended, and was missing from the replica that then decided on the answer.
func TestStatusOfJobThatEndsBeforeReplicaIsLoaded(t *testing.T) {
	const dependency, dependent, node = "req-free-1", "req-blue-1", "c"
	cluster := newIdleSimCluster(t, 10)
	cluster.taskTime = 5 * time.Minute
	requireAccepted(t, cluster.submit("a", dependency, 2, ""))
	requireAccepted(t, cluster.submit("a", dependent, 2, dependenciesField(dependency)))
	cluster.waitUntilStarted(dependency, 2)
	cluster.lateWrite = func(_ string, e StoreTxn) time.Duration { // keeps the cascaded cancellation from being stored
		if slices.ContainsFunc(e.Txn.Then, func(ch protocol.Change) bool { return ch.Delete == jobKey(dependent) }) {
			return time.Hour
		}
		return 0
	}
	cluster.crash(node)
	cluster.disconnectLinks(func(f, to string) bool { return f == node || to == node })
	if a := cluster.cancelJob("a", dependency); a.Status != http.StatusOK || cluster.stateSeenBy("a", dependent) != protocol.Cancelled {
		t.Fatal("the jobs are not cancelled")
	}
	cluster.listPageSize = 1
	cluster.holdNextPage = func(string) bool { return cluster.isStored(jobKey(dependent)) }
	cluster.boot(node)
	cluster.nextReq++
	req := cluster.nextReq
	cluster.send(node, Status{Req: req, ID: dependent})
	if !cluster.run(time.Second, func() bool { return len(cluster.cores[node].lookups.deferred) > 0 }) {
		t.Fatal("the answer is not deferred")
	}
	cluster.commitTxn(protocol.Txn{
		If: []protocol.Condition{{Key: keyState + dependent}},
		Then: []protocol.Change{
			{Delete: jobKey(dependent)},
			putJSON(keyState+dependent, finalStateRecord{State: protocol.Cancelled}),
		},
	})
	cluster.listPageSize = 0 // so the replica is loaded before the user gives up
	if !cluster.run(3*time.Second, func() bool { return cluster.answers[req].Status != 0 }) {
		t.Fatal("the user got no answer")
	}
	if s := requireJobState(t, cluster.answers[req]); s.State != protocol.Cancelled {
		t.Errorf("got state %q, want cancelled", s.State)
	}
}
