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

// A job of another site runs here under an ID that users can neither submit nor cancel. Its end is
// reported until the other site has closed the hand-off.
func TestIncomingJobRunsAndItsEndIsReported(t *testing.T) {
	cluster, remote := newFederatedSimCluster(t)
	remote.serveFor(10 * time.Second)
	offer := func(epoch federation.Epoch, body string) federation.Message {
		return federation.Message{Kind: federation.KindOffer, Epoch: epoch, Ticket: &federation.Ticket{Origin: "far", To: "near", JobID: "req-x",
			Class: "k", Epoch: epoch, Path: []federation.Site{"far"}, Body: json.RawMessage(body)}}
	}
	sent := func(kind federation.Kind, epoch federation.Epoch) *federation.Message {
		i := slices.IndexFunc(cluster.sent, func(m federation.Message) bool { return m.Kind == kind && m.Epoch == epoch })
		if i < 0 {
			return nil
		}
		return &cluster.sent[i]
	}
	remote.send(offer(1, submission("req-x", "red", 2, "")))
	remote.send(offer(2, submission("req-x", "nobody", 2, "")))
	remote.send(offer(3, submission("req-x", "red", 2, remoteZoneOnly)))
	if !remote.serveUntil(time.Minute, func() bool { return sent(federation.KindResult, 1) != nil }) || sent(federation.KindResult, 1).State != protocol.Done {
		t.Fatal("the end of the incoming job is not reported as done")
	}
	for epoch, reason := range map[federation.Epoch]string{2: "team is unknown", 3: "zone is unknown"} {
		if m := sent(federation.KindDecision, epoch); m == nil || m.Accepted || m.Reason != reason {
			t.Errorf("epoch %d: got decision %+v, want a rejection", epoch, m)
		}
	}
	for req, want := range map[string]int{"req-gw-far-1": http.StatusUnprocessableEntity, "req-gw-far-9": http.StatusUnprocessableEntity} {
		if a := cluster.cancelJob("a", req); a.Status != want {
			t.Errorf("status of the cancellation of %s: got %d, want 422", req, a.Status)
		}
	}
	if a := cluster.submit("a", "req-gw-far-7", 1, ""); a.Status != http.StatusBadRequest {
		t.Errorf("status of a submission with the ID of an incoming job: got %d, want 400", a.Status)
	}
	cluster.checkStartedOnce()
	remote.send(federation.Message{Kind: federation.KindClosed, Epoch: 1, LowWaterMark: 3})
	if !remote.serveUntil(time.Minute, func() bool {
		return len(cluster.cores["a"].handoffs.Incoming) == 0 && cluster.cores["b"].handoffs.LowWaterMarks["far"] == 3
	}) {
		t.Errorf("records of closed incoming hand-offs were not deleted: %v", cluster.cores["a"].handoffs.Incoming)
	}
}
