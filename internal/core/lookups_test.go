package core

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// poll requests the states of jobs from a controller at the same time and returns the answers by
// job ID.
func (cluster *simCluster) poll(node string, ids []string) map[string]Answer {
	cluster.t.Helper()
	reqs := map[string]uint64{}
	for _, id := range ids {
		cluster.nextReq++
		reqs[id] = cluster.nextReq
		cluster.send(node, Status{Req: cluster.nextReq, ID: id})
	}
	received := map[string]Answer{}
	cluster.run(10*time.Second, func() bool {
		for id, req := range reqs {
			if a, ok := cluster.answers[req]; ok {
				received[id] = a
			}
		}
		return len(received) == len(reqs)
	})
	return received
}

// Simultaneous polls must not cause one store request each, which would exhaust the store's request
// rate.
func TestManyPollsShareFewStoreRequests(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	var ids []string
	for i := range 100 {
		id := fmt.Sprintf("req-red-%d", i) // most of them wait for the team's limit
		requireAccepted(t, cluster.submit("a", id, 1, ""))
		ids = append(ids, id)
	}
	before := cluster.requests
	answers := cluster.poll("b", ids)
	for _, id := range ids {
		requireJobState(t, answers[id])
	}
	if n := cluster.requests - before; n > 40 {
		t.Errorf("%d polls: got %d store requests, want at most 40", len(ids), n)
	}
}

// A controller whose replica lags must not report a stale status. A failed transaction may name
// only one of the keys whose conditions failed; the jobs of the other keys must be reported neither
// as unknown nor as unfinished.
func TestStatusIsNotStale(t *testing.T) {
	for _, nameOneKey := range []bool{false, true} {
		cluster := newSimCluster(t).waitUntilReady()
		cluster.nameOneFailedKey = nameOneKey
		ids := []string{"req-blue-1", "req-blue-2", "req-blue-3", "req-free-1"}
		for _, id := range ids[:3] {
			requireAccepted(t, cluster.submit("a", id, 1, ""))
		}
		cluster.run(time.Second, nil)
		cluster.seen["c"] = 1 << 40 // c receives no more changes
		requireAccepted(t, cluster.submit("a", ids[3], 400, ""))
		if !cluster.run(2*time.Minute, cluster.allDone(ids[:3]...)) {
			t.Fatal("the jobs did not end")
		}
		answers := cluster.poll("c", append(ids, "req-nobody"))
		for _, id := range ids[:3] {
			if s := requireJobState(t, answers[id]); s.State != protocol.Done {
				t.Errorf("%s: got state %+v, want done", id, s)
			}
		}
		if s := requireJobState(t, answers[ids[3]]); s.State != protocol.Queued && s.State != protocol.Running {
			t.Errorf("%s: got state %+v, want queued or running", ids[3], s)
		}
		if a := answers["req-nobody"]; a.Status != http.StatusNotFound {
			t.Errorf("job that was never submitted: got status %d, want 404", a.Status)
		}
	}
}

func TestPollsBeyondTheLookupRateAreRejected(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	c := cluster.cores["a"]
	limit := int(c.lookups.limits().Rate) * c.limits.maxConditions()
	cluster.answers = map[uint64]Answer{}
	for i := range 6 * limit {
		cluster.send("a", Status{Req: 1<<32 + uint64(i), ID: fmt.Sprintf("req-nobody-%d", i)})
	}
	cluster.step("a")
	rejected := 0
	for _, a := range cluster.answers {
		if a.Status == http.StatusServiceUnavailable && a.RetryAfter > 0 {
			rejected++
		}
	}
	if rejected < limit {
		t.Errorf("got %d of %d polls rejected immediately, want at least those beyond the limit", rejected, 6*limit)
	}
	cluster.run(10*time.Second, nil)
	if accepted, unknown := c.lookups.queue.Len(); accepted+unknown > 0 {
		t.Errorf("got %d queued lookups, want none", accepted+unknown)
	}
}

// A message about the acceptance of a job may be delayed until after the job's end. It must not
// restore the job in a replica.
func TestDelayedAcceptanceMessageDoesNotRestoreEndedJob(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-blue-1", 1, ""))
	item := cluster.kv[jobKey("req-blue-1")]
	if !cluster.run(time.Minute, cluster.allDone("req-blue-1")) {
		t.Fatal("the job did not end")
	}
	cluster.run(time.Second, nil)
	for _, n := range nodeNames {
		cluster.send(n, PeerMessageReceived{Node: nodeNames[0], Message: PeerMessage{Accepted: &item}})
		cluster.step(n)
		if cluster.cores[n].jobs["req-blue-1"] != nil {
			t.Errorf("%s: the replica holds a job that has ended", n)
		}
	}
}

// A report with hundreds of unknown tasks causes one lookup for each job, and no task is stopped
// before the store has answered.
func TestReportOfHundredsOfUnknownTasksIsBounded(t *testing.T) {
	c := newBusyCore(10)
	r := benchReport(0, "req-0/0")
	r.Seq = 2
	for n := range 300 {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: fmt.Sprintf("req-8%d/%d", n%3, n), Attempt: 1, State: protocol.Running})
	}
	c.effects = nil
	c.handle(Heartbeat{Req: 1, Report: r})
	_, unknown := c.lookups.queue.Len()
	if w := c.agents.session(r.Machine); unknown != 3 || len(w.queuedCommands) > 0 {
		t.Errorf("got %d lookups and %d commands, want 3 lookups and no commands", unknown, len(w.queuedCommands))
	}
}

// Guards against an ended job that a replica holds for good: the message about its acceptance arrives after
// a snapshot that no longer shows the job, so that its end was never seen.
func TestAcceptanceMessageDelayedPastSnapshotDoesNotRestoreEndedJob(t *testing.T) {
	const id, node = "req-blue-1", "c"
	cluster := newSimCluster(t).waitUntilReady()
	cluster.blockedWatcher = node
	cluster.delayLinks(func(_, to string) bool { return to == node })
	requireAccepted(t, cluster.submit("a", id, 1, ""))
	if !cluster.run(time.Minute, cluster.allDone(id)) {
		t.Fatal("the job did not end")
	}
	cluster.sendSnapshotWhenReachable(node)
	cluster.run(time.Second, nil)
	cluster.blockedWatcher = ""
	cluster.restoreLinks()
	cluster.run(reportIntervals(claimLifetimeIntervals+2), nil) // until claims on its tasks have expired
	c := cluster.cores[node]
	if c.jobs[id] != nil {
		t.Error("the replica holds a job that has ended")
	}
	if _, planned := c.pendingTasks(); planned.Capacity > 0 {
		t.Errorf("the controller plans for %d tasks of ended jobs", planned.Capacity)
	}
}
