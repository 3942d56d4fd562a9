package core

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pepperlever/internal/federation"
	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// An outgoing job is bound nowhere here, is followed from every controller, and
// has its one end from its site, whichever controllers end meanwhile.
func TestOutgoingJobEndsAsItsSiteReports(t *testing.T) {
	w, f := newFederatedWorld(t)
	f.submitRemote("req-red-1")
	if !f.play(time.Minute, func() bool {
		return cmp.Equal(w.status("b", "req-red-1").Body, protocol.JobState{ID: "req-red-1", State: protocol.Running, Done: 1, Running: 2})
	}) {
		t.Fatal("its progress is not followed")
	}
	for _, n := range nodeNames {
		w.crash(n)
		w.expire(n)
		w.boot(n)
		f.play(10*time.Second, func() bool {
			for _, n := range nodeNames {
				if s, told := w.status(n, "req-red-1").Body.(protocol.JobState); told && (s.Done != 1 || s.State != protocol.Running) {
					t.Fatalf("%s says %+v, which is older than what was reported", n, s)
				}
			}
			return false
		})
	}
	w.ready()
	f.end = func() string { return protocol.Done }
	if !f.play(time.Minute, w.finished("req-red-1")) {
		t.Fatal("its end is not stored")
	}
	f.play(5*time.Second, func() bool { return false })
	for _, n := range nodeNames {
		if s := w.status(n, "req-red-1").Body.(protocol.JobState); s.State != protocol.Done || s.Done != 3 {
			t.Errorf("%s says %+v", n, s)
		}
	}
	if len(w.starts) > 0 || w.kv[jobKey("req-red-1")].Version > 0 || w.kv[outgoingKey("req-red-1")].Version > 0 {
		t.Errorf("started here: %v, or not tidied up", w.starts)
	}
}

// Cancelled is said only once the other site has reported the end, or of a refusal.
func TestOutgoingJobIsCancelledByItsSite(t *testing.T) {
	for _, accepted := range []bool{true, false} {
		w, f := newFederatedWorld(t)
		if !accepted {
			f.decide = func(federation.Message) federation.Message { return federation.Message{} } // no answer that counts
		}
		f.submitRemote("req-red-1")
		if !f.play(time.Minute, func() bool { return len(f.answered) > 0 && w.cores["a"].isOutgoing("req-red-1") }) {
			t.Fatal("not handed off")
		}
		delete(f.answered, 0)
		if !accepted {
			clear(f.answered)
		}
		if a := w.cancelJob("c", "req-red-1"); a.Status != http.StatusServiceUnavailable || a.RetryAfter < 1 {
			t.Errorf("accepted %v: cancel got %d", accepted, a.Status)
		}
		f.end = func() string { return protocol.Cancelled }
		if !f.play(time.Minute, func() bool { return w.cancelJob("b", "req-red-1").Status == http.StatusOK }) {
			t.Fatalf("accepted %v: never cancelled", accepted)
		}
		f.play(5*time.Second, func() bool { return false })
		if s := w.status("a", "req-red-1").Body.(protocol.JobState); s.State != protocol.Cancelled || w.kv[jobKey("req-red-1")].Version > 0 {
			t.Errorf("accepted %v: %+v", accepted, s)
		}
	}
}

// After a stored refusal a job runs here as if nothing had been.
func TestRefusedJobRunsHere(t *testing.T) {
	w, f := newFederatedWorld(t)
	for _, n := range nodeNames {
		w.gateways[n].Classes[0].OfferAfterS = 0
	}
	f.decide = func(federation.Message) federation.Message {
		return federation.Message{Kind: federation.KindDecision, Reason: "not today"}
	}
	if a := w.submit("a", "req-red-1", 3, ""); a.Status != http.StatusCreated {
		t.Fatalf("submission got %d", a.Status)
	}
	if !f.play(2*time.Minute, w.finished("req-red-1")) {
		t.Fatal("it does not run")
	}
	w.startedOnce()
}

// The scheduler does not even try to place an outgoing job.
func TestOutgoingJobIsNotPlaced(t *testing.T) {
	w, f := newFederatedWorld(t)
	w.change(protocol.Change{Put: outgoingKey("req-red-1"), Value: mustjson.Marshal(federation.Outgoing{Epoch: 1, To: "far"})})
	f.play(time.Second, func() bool { return false })
	if a := w.submit("a", "req-red-1", 3, ""); a.Status != http.StatusCreated {
		t.Fatalf("submission got %d", a.Status)
	}
	f.play(15*time.Second, func() bool { return false })
	for n, c := range w.cores {
		if j := c.jobs["req-red-1"]; j.Attempt > 0 || c.startAllowance(j) > 0 {
			t.Errorf("%s has tried to bind it", n)
		}
	}
}

// Bindings, hand-offs and cancellations race in the store, whatever the
// controllers have heard by then.
func TestHandOffsRaceWithBindingsAndCancellations(t *testing.T) {
	outgoing := federation.Outgoing{Epoch: 1, To: "far", Accepted: true}
	for name, c := range map[string]struct {
		more   string
		before func(w *world)
		holds  func(w *world) bool
	}{
		"a binding after a hand-off": {before: func(w *world) { w.putUnwatched(outgoingKey("req-red-1"), outgoing) },
			holds: func(w *world) bool { return len(w.starts) == 0 }},
		"a cancellation after a hand-off": {before: func(w *world) { w.putUnwatched(outgoingKey("req-red-1"), outgoing) },
			holds: func(w *world) bool {
				return w.cancelJob("b", "req-red-1").Status == http.StatusServiceUnavailable && w.kv[keyState+"req-red-1"].Version == 0
			}},
		"a hand-off after a binding": {more: remoteZoneOnly, before: func(w *world) { w.putUnwatched(jobKey("req-red-1"), "bound meanwhile") },
			holds: func(w *world) bool { return w.kv[outgoingKey("req-red-1")].Version == 0 }},
		"a hand-off after a cancellation": {more: remoteZoneOnly, before: func(w *world) { w.putUnwatched(cancelKey("req-red-1"), struct{}{}) },
			holds: func(w *world) bool { return w.kv[outgoingKey("req-red-1")].Version == 0 }},
		"a hand-off after a drain by another": {more: remoteZoneOnly, before: func(w *world) {
			w.change(protocol.Change{Put: drainedKey("far"), Value: mustjson.Marshal(struct{}{})})
		}, holds: func(w *world) bool { return w.kv[outgoingKey("req-red-1")].Version == 0 }},
	} {
		w, f := newFederatedWorld(t)
		f.play(10*time.Second, func() bool { return false }) // the sites compare their records
		w.nextReq++
		w.send("a", Submit{Req: w.nextReq, Body: []byte(submission("req-red-1", "red", 3, c.more))})
		if !w.run(time.Second, func() bool { _, there := w.kv[jobKey("req-red-1")]; return there }) {
			t.Fatalf("%s: not accepted", name)
		}
		c.before(w)
		f.play(15*time.Second, func() bool { return false })
		if !c.holds(w) {
			t.Errorf("%s: starts %v, hand-off %d, state %d", name, w.starts, w.kv[outgoingKey("req-red-1")].Version, w.kv[keyState+"req-red-1"].Version)
		}
	}
}
