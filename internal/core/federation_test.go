package core

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// far plays another site, which answers messages as a test wants. Its jobs never
// leave a message out: whatever is not answered is sent again.
type far struct {
	w *world
	// decide answers an offer, end tells the state in which the job has ended there,
	// or nothing yet.
	decide func(m federation.Message) federation.Message
	end    func() string
	seen   int
	taken  map[federation.Epoch]federation.Message
}

// joined is a world whose controllers have a gateway to a site called far.
func joined(t *testing.T) (*world, *far) {
	w := newWorld(t)
	w.gateways = map[string]*federation.Config{}
	for _, n := range nodeNames {
		cfg := federation.Default()
		cfg.Site, cfg.RetryS, cfg.RetryMaxS = "near", 1, 4
		cfg.Peers = []federation.Peer{{Site: "far", MaxOutgoing: 10, MaxIncoming: 10, Zones: []string{"z9"}}}
		cfg.Classes = []federation.Class{{Name: "k", To: []federation.Site{"far"}, AcceptFrom: []federation.Site{"far"}, AllowsRepeat: true, OfferAfterS: 3600}}
		w.gateways[n] = &cfg
	}
	for _, n := range nodeNames {
		w.boot(n)
	}
	f := &far{w: w, taken: map[federation.Epoch]federation.Message{}, end: func() string { return "" }}
	f.decide = func(m federation.Message) federation.Message {
		return federation.Message{Kind: federation.KindDecision, Accepted: true, Done: 1, Running: 2}
	}
	w.ready()
	return w, f
}

// play answers what comes, at any controller.
func (f *far) play(d time.Duration, done func() bool) bool {
	return f.w.run(d, func() bool {
		for ; f.seen < len(f.w.sent); f.seen++ {
			f.hear(f.w.sent[f.seen])
		}
		return done()
	})
}

func (f *far) say(m federation.Message) {
	m.From, m.To = "far", "near"
	f.w.send(nodeNames[f.seen%len(nodeNames)], SiteMessageReceived{Message: m})
}

func (f *far) hear(m federation.Message) {
	answer, known := f.taken[m.Epoch]
	switch {
	case m.Kind == federation.KindViewRequest:
		f.say(federation.Message{Kind: federation.KindView, Nonce: m.Nonce, View: &federation.View{}})
		return
	case m.Kind == federation.KindCancel && !known:
		answer = federation.Message{Kind: federation.KindDecision, Reason: "cancelled"}
	case m.Kind == federation.KindOffer && !known:
		answer = f.decide(m)
	case m.Kind != federation.KindOffer && m.Kind != federation.KindCancel:
		return
	}
	f.taken[m.Epoch] = answer
	if state := f.end(); answer.Accepted && state != "" {
		answer = federation.Message{Kind: federation.KindResult, State: state}
	}
	answer.Epoch = m.Epoch
	f.say(answer)
}

// elsewhere is what a job asks for that only far has.
const elsewhere = `,"yard":"z9"`

// handIn hands in a job that only far can run.
func (f *far) handIn(id string) {
	f.w.t.Helper()
	if a := f.w.submit("a", id, 3, elsewhere); a.Status != http.StatusCreated {
		f.w.t.Fatalf("submission got %d", a.Status)
	}
}

// A job that is away is bound nowhere here, is followed from every controller, and
// has its one end from the far site, whichever controllers end meanwhile.
func TestJobThatIsAwayEndsAsTheFarSiteSays(t *testing.T) {
	w, f := joined(t)
	f.handIn("req-red-1")
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
					t.Fatalf("%s says %+v, which is older than what was told", n, s)
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

// Cancelled is said only once the far site has told of the end, or of a refusal.
func TestCancelOfAJobThatIsAway(t *testing.T) {
	for _, accepted := range []bool{true, false} {
		w, f := joined(t)
		if !accepted {
			f.decide = func(federation.Message) federation.Message { return federation.Message{} } // no answer that counts
		}
		f.handIn("req-red-1")
		if !f.play(time.Minute, func() bool { return len(f.taken) > 0 && w.cores["a"].isOutgoing("req-red-1") }) {
			t.Fatal("not handed off")
		}
		delete(f.taken, 0)
		if !accepted {
			clear(f.taken)
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
func TestRefusedJobRunsAtHome(t *testing.T) {
	w, f := joined(t)
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

// A job of another site runs here under an id of its own, which users can neither
// hand in nor cancel, and its end is told until the far site has closed it.
func TestJobOfAnotherSiteRunsHereAndItsEndIsTold(t *testing.T) {
	w, f := joined(t)
	f.play(10*time.Second, func() bool { return false })
	offer := func(epoch federation.Epoch, body string) federation.Message {
		return federation.Message{Kind: federation.KindOffer, Epoch: epoch, Ticket: &federation.Ticket{Origin: "far", To: "near", JobID: "req-x",
			Class: "k", Epoch: epoch, Path: []federation.Site{"far"}, Body: json.RawMessage(body)}}
	}
	told := func(kind federation.Kind, epoch federation.Epoch) *federation.Message {
		i := slices.IndexFunc(w.sent, func(m federation.Message) bool { return m.Kind == kind && m.Epoch == epoch })
		if i < 0 {
			return nil
		}
		return &w.sent[i]
	}
	f.say(offer(1, submission("req-x", "red", 2, "")))
	f.say(offer(2, submission("req-x", "nobody", 2, "")))
	f.say(offer(3, submission("req-x", "red", 2, elsewhere)))
	if !f.play(time.Minute, func() bool { return told(federation.KindResult, 1) != nil }) || told(federation.KindResult, 1).State != protocol.Done {
		t.Fatal("its end is not told")
	}
	for epoch, why := range map[federation.Epoch]string{2: "team is unknown", 3: "zone is unknown"} {
		if m := told(federation.KindDecision, epoch); m == nil || m.Accepted || m.Reason != why {
			t.Errorf("epoch %d: %+v", epoch, m)
		}
	}
	for req, want := range map[string]int{"req-gw-far-1": http.StatusUnprocessableEntity, "req-gw-far-9": http.StatusUnprocessableEntity} {
		if a := w.cancelJob("a", req); a.Status != want {
			t.Errorf("cancel of %s got %d", req, a.Status)
		}
	}
	if a := w.submit("a", "req-gw-far-7", 1, ""); a.Status != http.StatusBadRequest {
		t.Errorf("a user's job with such an id got %d", a.Status)
	}
	w.startedOnce()
	f.say(federation.Message{Kind: federation.KindClosed, Epoch: 1, LowWaterMark: 3})
	if !f.play(time.Minute, func() bool {
		return len(w.cores["a"].handoffs.Incoming) == 0 && w.cores["b"].handoffs.LowWaterMarks["far"] == 3
	}) {
		t.Errorf("not forgotten: %v", w.cores["a"].handoffs.Incoming)
	}
}

// A controller without the gateway's file would run jobs that are away: nothing is
// handed off while one lives, and one that comes later takes no teams.
func TestControllersWithoutTheFile(t *testing.T) {
	w, f := joined(t)
	file := w.gateways["c"]
	delete(w.gateways, "c")
	w.crash("c")
	w.expire("c")
	w.boot("c")
	w.ready()
	f.handIn("req-red-1")
	if f.play(20*time.Second, func() bool { return len(f.taken) > 0 }) {
		t.Error("handed off although a controller does not know")
	}
	w.crash("c")
	w.expire("c")
	if !f.play(time.Minute, func() bool { return len(f.taken) > 0 }) {
		t.Fatal("not handed off")
	}
	w.boot("c")
	f.play(20*time.Second, func() bool { return false })
	for _, team := range w.cores["c"].teams {
		if team.leading {
			t.Errorf("it is home of %s", team.Name)
		}
	}
	w.gateways["c"] = file
}

// Writes whose answers are lost leave the gateway's records as the state service
// has them.
func TestGatewayFindsOutAboutUnansweredWrites(t *testing.T) {
	w, f := joined(t)
	f.decide = func(federation.Message) federation.Message {
		w.lostReplies = 1 + len(f.taken)%3 // the next writes, of whoever it is
		return federation.Message{Kind: federation.KindDecision, Accepted: true}
	}
	f.end = func() string { w.lostReplies++; return protocol.Done }
	for i := range 5 {
		f.handIn(fmt.Sprintf("req-red-%d", i))
	}
	if !f.play(3*time.Minute, w.finished("req-red-0", "req-red-1", "req-red-2", "req-red-3", "req-red-4")) {
		t.Errorf("not all end: %+v", w.cores["a"].handoffs.Records)
	}
	if len(w.starts) > 0 {
		t.Errorf("started here: %v", w.starts)
	}
}

// silently writes a key that no watch tells of yet.
func (w *world) silently(key string, v any) {
	w.revision++
	w.kv[key] = protocol.KeyValue{Key: key, Value: mustMarshal(v), Version: w.revision}
}

// Bindings, hand-offs and cancellations meet in the state service, whatever the
// controllers have heard by then.
func TestHandOffsMeetBindingsAndCancellations(t *testing.T) {
	away := federation.Outgoing{Epoch: 1, To: "far", Accepted: true}
	for name, c := range map[string]struct {
		more   string
		before func(w *world)
		holds  func(w *world) bool
	}{
		"a binding after a hand-off": {before: func(w *world) { w.silently(outgoingKey("req-red-1"), away) },
			holds: func(w *world) bool { return len(w.starts) == 0 }},
		"a cancellation after a hand-off": {before: func(w *world) { w.silently(outgoingKey("req-red-1"), away) },
			holds: func(w *world) bool {
				return w.cancelJob("b", "req-red-1").Status == http.StatusServiceUnavailable && w.kv[keyState+"req-red-1"].Version == 0
			}},
		"a hand-off after a binding": {more: elsewhere, before: func(w *world) { w.silently(jobKey("req-red-1"), "bound meanwhile") },
			holds: func(w *world) bool { return w.kv[outgoingKey("req-red-1")].Version == 0 }},
		"a hand-off after a cancellation": {more: elsewhere, before: func(w *world) { w.silently(cancelKey("req-red-1"), struct{}{}) },
			holds: func(w *world) bool { return w.kv[outgoingKey("req-red-1")].Version == 0 }},
		"a hand-off after a drain by another": {more: elsewhere, before: func(w *world) {
			w.change(protocol.Change{Put: drainedKey("far"), Value: mustMarshal(struct{}{})})
		}, holds: func(w *world) bool { return w.kv[outgoingKey("req-red-1")].Version == 0 }},
	} {
		w, f := joined(t)
		f.play(10*time.Second, func() bool { return false }) // the sites meet
		w.nextReq++
		w.send("a", Submit{Req: w.nextReq, Body: []byte(submission("req-red-1", "red", 3, c.more))})
		if !w.run(time.Second, func() bool { _, there := w.kv[jobKey("req-red-1")]; return there }) {
			t.Fatalf("%s: not accepted", name)
		}
		c.before(w)
		f.play(15*time.Second, func() bool { return false })
		if !c.holds(w) {
			t.Errorf("%s: starts %v, away %d, state %d", name, w.starts, w.kv[outgoingKey("req-red-1")].Version, w.kv[keyState+"req-red-1"].Version)
		}
	}
}

// A job that is away is not even tried to be placed.
func TestJobThatIsAwayIsNotPlaced(t *testing.T) {
	w, f := joined(t)
	w.change(protocol.Change{Put: outgoingKey("req-red-1"), Value: mustMarshal(federation.Outgoing{Epoch: 1, To: "far"})})
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
