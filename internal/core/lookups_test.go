package core

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// poll asks a node for the states of jobs at once and returns what it says.
func (w *world) poll(node string, ids []string) map[string]Answer {
	w.t.Helper()
	reqs := map[string]uint64{}
	for _, id := range ids {
		w.nextReq++
		reqs[id] = w.nextReq
		w.send(node, Status{Req: w.nextReq, ID: id})
	}
	out := map[string]Answer{}
	w.run(10*time.Second, func() bool {
		for id, req := range reqs {
			if a, ok := w.answers[req]; ok {
				out[id] = a
			}
		}
		return len(out) == len(reqs)
	})
	return out
}

// A request to the store for each poll would use the store up.
func TestManyPollsShareFewRequests(t *testing.T) {
	w := newWorld(t).ready()
	var ids []string
	for i := range 100 {
		id := fmt.Sprintf("req-red-%d", i) // the team's limit leaves most of them waiting
		accepted(t, w.submit("a", id, 1, ""))
		ids = append(ids, id)
	}
	before := w.requests
	answers := w.poll("b", ids)
	for _, id := range ids {
		stateOf(t, answers[id])
	}
	if n := w.requests - before; n > 40 {
		t.Errorf("%d polls took %d requests", len(ids), n)
	}
}

// A check that fails may name only one of the keys that failed it; the other
// jobs must neither be taken for unknown nor for unfinished.
func TestStatusIsNoOlderThanTheStore(t *testing.T) {
	for _, terse := range []bool{false, true} {
		w := newWorld(t).ready()
		w.nameOneFailedKey = terse
		ids := []string{"req-blue-1", "req-blue-2", "req-blue-3", "req-free-1"}
		for _, id := range ids[:3] {
			accepted(t, w.submit("a", id, 1, ""))
		}
		w.run(time.Second, nil)
		w.seen["c"] = 1 << 40 // c hears of no change any more
		accepted(t, w.submit("a", ids[3], 400, ""))
		if !w.run(2*time.Minute, w.finished(ids[:3]...)) {
			t.Fatal("jobs do not end")
		}
		answers := w.poll("c", append(ids, "req-nobody"))
		for _, id := range ids[:3] {
			if s := stateOf(t, answers[id]); s.State != protocol.Done {
				t.Errorf("%s is %+v, though it is done", id, s)
			}
		}
		if s := stateOf(t, answers[ids[3]]); s.State != protocol.Queued && s.State != protocol.Running {
			t.Errorf("%s is %+v", ids[3], s)
		}
		if a := answers["req-nobody"]; a.Status != http.StatusNotFound {
			t.Errorf("a job that was never submitted gets %d", a.Status)
		}
	}
}

func TestPollsBeyondTheLookupRateAreRejected(t *testing.T) {
	w := newWorld(t).ready()
	c := w.cores["a"]
	limit := int(c.lookups.limits().Rate) * c.limits.maxConditions()
	w.answers = map[uint64]Answer{}
	for i := range 6 * limit {
		w.send("a", Status{Req: 1<<32 + uint64(i), ID: fmt.Sprintf("req-nobody-%d", i)})
	}
	w.step("a")
	turned := 0
	for _, a := range w.answers {
		if a.Status == http.StatusServiceUnavailable && a.RetryAfter > 0 {
			turned++
		}
	}
	if turned < limit {
		t.Errorf("%d of %d were turned away at once", turned, 6*limit)
	}
	w.run(10*time.Second, nil)
	if accepted, unknown := c.lookups.queue.Len(); accepted+unknown > 0 {
		t.Errorf("%d lookups are left", accepted+unknown)
	}
}

// The network may hold the message of an acceptance until the job is over.
func TestLateAcceptanceMessageDoesNotReviveAJob(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 1, ""))
	item := w.kv[jobKey("req-blue-1")]
	if !w.run(time.Minute, w.finished("req-blue-1")) {
		t.Fatal("job does not end")
	}
	w.run(time.Second, nil)
	for _, n := range nodeNames {
		w.send(n, PeerMessageReceived{Node: nodeNames[0], Message: PeerMessage{Accepted: &item}})
		w.step(n)
		if w.cores[n].jobs["req-blue-1"] != nil {
			t.Errorf("%s holds a job that has ended", n)
		}
	}
}

// A report of hundreds of tasks that nobody knows takes one lookup for each job, and stops
// nothing before the store has answered.
func TestReportOfHundredsOfUnknownTasksIsBounded(t *testing.T) {
	c := busyCore(10)
	r := benchReport(0, "req-0/0")
	r.Seq = 2
	for n := range 300 {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: fmt.Sprintf("req-8%d/%d", n%3, n), Attempt: 1, State: protocol.Running})
	}
	c.effects = nil
	c.handle(Heartbeat{Req: 1, Report: r})
	_, unknown := c.lookups.queue.Len()
	if w := c.agents.session(r.Machine); unknown != 3 || len(w.queuedCommands) > 0 {
		t.Errorf("%d lookups for three jobs, %d commands", unknown, len(w.queuedCommands))
	}
}
