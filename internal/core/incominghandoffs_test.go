package core

import (
	"encoding/json"
	"net/http"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// A job of another site runs here under an id of its own, which users can neither
// hand in nor cancel, and its end is reported until the other site has closed it.
func TestIncomingJobRunsAndItsEndIsReported(t *testing.T) {
	w, f := newFederatedWorld(t)
	f.play(10*time.Second, func() bool { return false })
	offer := func(epoch federation.Epoch, body string) federation.Message {
		return federation.Message{Kind: federation.KindOffer, Epoch: epoch, Ticket: &federation.Ticket{Origin: "far", To: "near", JobID: "req-x",
			Class: "k", Epoch: epoch, Path: []federation.Site{"far"}, Body: json.RawMessage(body)}}
	}
	sent := func(kind federation.Kind, epoch federation.Epoch) *federation.Message {
		i := slices.IndexFunc(w.sent, func(m federation.Message) bool { return m.Kind == kind && m.Epoch == epoch })
		if i < 0 {
			return nil
		}
		return &w.sent[i]
	}
	f.send(offer(1, submission("req-x", "red", 2, "")))
	f.send(offer(2, submission("req-x", "nobody", 2, "")))
	f.send(offer(3, submission("req-x", "red", 2, remoteZoneOnly)))
	if !f.play(time.Minute, func() bool { return sent(federation.KindResult, 1) != nil }) || sent(federation.KindResult, 1).State != protocol.Done {
		t.Fatal("its end is not reported")
	}
	for epoch, why := range map[federation.Epoch]string{2: "team is unknown", 3: "zone is unknown"} {
		if m := sent(federation.KindDecision, epoch); m == nil || m.Accepted || m.Reason != why {
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
	f.send(federation.Message{Kind: federation.KindClosed, Epoch: 1, LowWaterMark: 3})
	if !f.play(time.Minute, func() bool {
		return len(w.cores["a"].handoffs.Incoming) == 0 && w.cores["b"].handoffs.LowWaterMarks["far"] == 3
	}) {
		t.Errorf("not forgotten: %v", w.cores["a"].handoffs.Incoming)
	}
}
