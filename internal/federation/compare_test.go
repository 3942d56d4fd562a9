package federation

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A store restored from an old backup lacks epochs or decisions, so that jobs could run twice.
// The site must suspend hand-offs and log an error. It may resume them only on an operator's
// instruction.
func TestRestoredStoreSuspendsHandOffs(t *testing.T) {
	for name, tc := range map[string]struct {
		class    string
		restored Site
		// before is the number of messages delivered before the backup is made.
		before     int
		finalState string
	}{
		"origin lost its hand-off":                        {"k", "a", 0, Done},
		"receiver lost its acceptance":                    {"k", "b", 0, Done},
		"receiver lost its acceptance, no repeat allowed": {"once", "b", 0, Cancelled},
	} {
		sim := newSimulation(t.Errorf)
		for len(sim.inFlight) > 0 {
			sim.deliver(0, false, noFault) // the sites compare their records
		}
		sim.drainPeersOf("c")
		sim.submit("a", "req-1", tc.class)
		records, jobs := sim.sites[tc.restored].snapshot()
		sim.userJobs["req-1"].givenUp = true // after the restore it may run twice
		for range 3 {
			sim.now += time.Second
			sim.tick("a", noFault)
			sim.tick("b", noFault)
			for len(sim.inFlight) > 0 {
				sim.deliver(0, false, noFault)
			}
		}
		if !sim.sites["a"].records.Outgoing["req-1"].Accepted {
			t.Fatalf("%s: job was not accepted by another site", name)
		}
		sim.restore(tc.restored, records, jobs)
		sim.runFor(20 * time.Second)
		s := sim.sites[tc.restored]
		if other := map[Site]Site{"a": "b", "b": "a"}[tc.restored]; s.coordinator.peer(other).suspendedReason == "" || s.loggedErrors == 0 {
			t.Errorf("%s: hand-offs not suspended or no error logged (%d logged errors)", name, s.loggedErrors)
		}
		if len(s.records.Incoming)+len(s.records.Outgoing) > 0 {
			t.Errorf("%s: got hand-offs while suspended: %v", name, s.records)
		}
		for _, peer := range siteNames {
			sim.step(tc.restored, ResumeHandOffs{Req: 7, Site: peer, Operator: "ana", Reason: "all machines were returned"})
		}
		sim.runFor(20 * time.Second)
		if tc.finalState == Cancelled {
			if _, isOutgoing := sim.sites["a"].records.Outgoing["req-1"]; !isOutgoing || sim.userJobs["req-1"].finalState != "" {
				t.Errorf("%s: job is no longer outgoing, or has final state %q, before its user cancels it", name, sim.userJobs["req-1"].finalState)
			}
			sim.cancel("a", "req-1")
		}
		sim.runToCompletion()
		if got := sim.userJobs["req-1"].finalState; got != tc.finalState {
			t.Errorf("%s: got final state %q", name, got)
		}
	}
}

// No hand-off message may be processed before the records have been compared, and a view with a
// different nonce must be ignored.
func TestNoHandOffsBeforeRecordsAreCompared(t *testing.T) {
	coordinator := New(simConfig("a"), 1)
	var nonce uint64
	for _, effect := range coordinator.Step(time.Second, RecordsLoaded{Records{}.copy()}, JobsWaiting{Jobs: []WaitingJob{{ID: "req-1", Class: "k", Waited: time.Hour}}}) {
		switch effect := effect.(type) {
		case Send:
			if effect.Message.Kind != KindViewRequest {
				t.Errorf("sent message %s before the records were compared", effect.Message.Kind)
			}
			if effect.Message.To == "b" {
				nonce = effect.Message.Nonce
			}
		case StoreWrite:
			t.Errorf("got write %T before the records were compared", effect.Write)
		}
	}
	offer := Message{From: "b", To: "a", Kind: KindOffer, Epoch: 1, Ticket: &Ticket{Origin: "b", To: "a", Epoch: 1, Class: "k", Path: []Site{"b"}}}
	view := Message{From: "b", To: "a", Kind: KindView, Nonce: nonce, View: &View{LastEpoch: 1, Open: []Epoch{1}}}
	mismatched := view
	mismatched.Nonce++
	for i, tc := range []struct {
		message Message
		decides bool
	}{{offer, false}, {mismatched, false}, {offer, false}, {view, false}, {offer, true}} {
		decides := false
		for _, effect := range coordinator.Step(2*time.Second, MessageReceived{Message: tc.message}) {
			if write, ok := effect.(StoreWrite); ok {
				_, isDecision := write.Write.(DecideIncoming)
				decides = decides || isDecision
			}
		}
		if decides != tc.decides {
			t.Errorf("message %d, %s: got decision %v", i, tc.message.Kind, decides)
		}
	}
}

// A result ends an outgoing job although the records have not been compared, so that its user is told of the
// end while only the link from its origin is cut. No other message does, and none after the comparison has shown
// that the records are out of date.
func TestResultIsAcceptedBeforeRecordsAreCompared(t *testing.T) {
	records := Records{}.copy()
	records.LastEpochs["b"] = 1
	records.Outgoing["req-1"] = Outgoing{Epoch: 1, To: "b", Accepted: true, Ticket: Ticket{Class: "k"}}
	result := Message{From: "b", To: "a", Kind: KindResult, Epoch: 1, State: Done}
	refusal := Message{From: "b", To: "a", Kind: KindDecision, Epoch: 1, Reason: reasonBusy}
	unknown := result
	unknown.Epoch = 2
	other := result
	other.From = "c"
	for name, test := range map[string]struct {
		message Message
		// suspended is set if the peer knows of an epoch that the records lack.
		suspended bool
		accepted  bool
	}{
		"result":                      {message: result, accepted: true},
		"result of an unknown epoch":  {message: unknown},
		"result of another site":      {message: other},
		"refusal":                     {message: refusal},
		"result while it is behind":   {message: result, suspended: true},
		"refusal while it is behind":  {message: refusal, suspended: true},
		"an acceptance that was lost": {message: Message{From: "b", To: "a", Kind: KindDecision, Epoch: 1, Accepted: true}},
	} {
		coordinator := New(simConfig("a"), 1)
		coordinator.Step(time.Second, RecordsLoaded{records})
		if test.suspended {
			nonce := coordinator.peer("b").nonce
			coordinator.Step(time.Second, MessageReceived{Message: Message{From: "b", To: "a", Kind: KindView, Nonce: nonce, View: &View{HighestEpoch: 7}}})
		}
		var writes []Write
		for _, effect := range coordinator.Step(2*time.Second, MessageReceived{Message: test.message}) {
			if write, ok := effect.(StoreWrite); ok {
				writes = append(writes, write.Write)
			}
		}
		var want []Write
		if test.accepted {
			want = []Write{FinishOutgoing{JobID: "req-1", Epoch: 1, FinalState: Done}}
		}
		if diff := cmp.Diff(want, writes); diff != "" {
			t.Errorf("%s: %s", name, diff)
		}
	}
}
