package federation

import (
	"testing"
	"time"
)

// A store restored from an old copy has forgotten what it gave or decided. Its site has to
// suspend hand-offs and say so, and goes on at an operator's instruction.
func TestRestoredStoreSuspendsHandOffs(t *testing.T) {
	for name, c := range map[string]struct {
		class    string
		restored Site
		// before is how many messages pass before the copy is made.
		before int
		final  string
	}{
		"origin forgot that it gave the job":       {"k", "a", 0, Done},
		"receiver forgot that it took the job":     {"k", "b", 0, Done},
		"receiver forgot a job that may not again": {"once", "b", 0, Cancelled},
	} {
		w := newSim(t.Errorf)
		for len(w.inFlight) > 0 {
			w.deliver(0, false, fine) // the sites compare their records
		}
		w.drain("c")
		w.submit("a", "req-1", c.class)
		records, jobs := w.sites[c.restored].snapshot()
		w.userJobs["req-1"].givenUp = true // two copies of the truth may make it run twice
		for range 3 {
			w.now += time.Second
			w.tick("a", fine)
			w.tick("b", fine)
			for len(w.inFlight) > 0 {
				w.deliver(0, false, fine)
			}
		}
		if !w.sites["a"].records.Outgoing["req-1"].Accepted {
			t.Fatalf("%s: not handed off", name)
		}
		w.restore(c.restored, records, jobs)
		w.play(20 * time.Second)
		s := w.sites[c.restored]
		if other := map[Site]Site{"a": "b", "b": "a"}[c.restored]; s.coordinator.peer(other).suspendedReason == "" || s.loggedErrors == 0 {
			t.Errorf("%s: goes on, %d warnings", name, s.loggedErrors)
		}
		if len(s.records.Incoming)+len(s.records.Outgoing) > 0 {
			t.Errorf("%s: it hands off all the same: %v", name, s.records)
		}
		for _, peer := range siteNames {
			w.step(c.restored, Renew{Req: 7, Site: peer, Operator: "ana", Reason: "all machines were returned"})
		}
		w.play(20 * time.Second)
		if c.final == Cancelled {
			if _, away := w.sites["a"].records.Outgoing["req-1"]; !away || w.userJobs["req-1"].final != "" {
				t.Errorf("%s: it may run here again, or is %q", name, w.userJobs["req-1"].final)
			}
			w.cancel("a", "req-1")
		}
		w.finish()
		if got := w.userJobs["req-1"].final; got != c.final {
			t.Errorf("%s: it is %q in the end", name, got)
		}
	}
}

// Before two sites have compared their records nothing passes, and an answer to an
// earlier question does not count.
func TestNothingPassesBeforeRecordsAreCompared(t *testing.T) {
	m := New(simConfig("a"), 1)
	var nonce uint64
	for _, e := range m.Step(time.Second, RecordsLoaded{Records{}.copy()}, JobsWaiting{Jobs: []WaitingJob{{ID: "req-1", Class: "k", Waited: time.Hour}}}) {
		switch e := e.(type) {
		case Send:
			if e.Message.Kind != KindViewRequest {
				t.Errorf("%s is sent", e.Message.Kind)
			}
			if e.Message.To == "b" {
				nonce = e.Message.Nonce
			}
		case StoreWrite:
			t.Errorf("%T is written", e.Write)
		}
	}
	offer := Message{From: "b", To: "a", Kind: KindOffer, Epoch: 1, Ticket: &Ticket{Origin: "b", To: "a", Epoch: 1, Class: "k", Path: []Site{"b"}}}
	view := Message{From: "b", To: "a", Kind: KindView, Nonce: nonce, View: &View{LastEpoch: 1, Open: []Epoch{1}}}
	late := view
	late.Nonce++
	for i, c := range []struct {
		in      Message
		decides bool
	}{{offer, false}, {late, false}, {offer, false}, {view, false}, {offer, true}} {
		decides := false
		for _, e := range m.Step(2*time.Second, MessageReceived{Message: c.in}) {
			if st, ok := e.(StoreWrite); ok {
				_, d := st.Write.(DecideIncoming)
				decides = decides || d
			}
		}
		if decides != c.decides {
			t.Errorf("message %d, %s: decides %v", i, c.in.Kind, decides)
		}
	}
}
