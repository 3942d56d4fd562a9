package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// A controller without the federation's configuration would run outgoing jobs: nothing is
// handed off while one lives, and one that comes later leads no team.
func TestControllerWithoutFederationPreventsHandOffs(t *testing.T) {
	w, f := newFederatedWorld(t)
	file := w.gateways["c"]
	delete(w.gateways, "c")
	w.crash("c")
	w.expire("c")
	w.boot("c")
	w.ready()
	f.submitRemote("req-red-1")
	if f.play(20*time.Second, func() bool { return len(f.answered) > 0 }) {
		t.Error("handed off although a controller does not know")
	}
	w.crash("c")
	w.expire("c")
	if !f.play(time.Minute, func() bool { return len(f.answered) > 0 }) {
		t.Fatal("not handed off")
	}
	w.boot("c")
	f.play(20*time.Second, func() bool { return false })
	for _, team := range w.cores["c"].teams {
		if team.leading {
			t.Errorf("it leads %s", team.Name)
		}
	}
	w.gateways["c"] = file
}

// Writes whose answers are lost leave the coordinator's records as the store has them.
func TestCoordinatorRecoversFromUnansweredWrites(t *testing.T) {
	w, f := newFederatedWorld(t)
	f.decide = func(federation.Message) federation.Message {
		w.lostReplies = 1 + len(f.answered)%3 // the next writes, of whoever it is
		return federation.Message{Kind: federation.KindDecision, Accepted: true}
	}
	f.end = func() string { w.lostReplies++; return protocol.Done }
	for i := range 5 {
		f.submitRemote(fmt.Sprintf("req-red-%d", i))
	}
	if !f.play(3*time.Minute, w.finished("req-red-0", "req-red-1", "req-red-2", "req-red-3", "req-red-4")) {
		t.Errorf("not all end: %+v", w.cores["a"].handoffs.Records)
	}
	if len(w.starts) > 0 {
		t.Errorf("started here: %v", w.starts)
	}
}
