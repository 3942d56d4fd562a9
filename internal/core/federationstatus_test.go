package core

import (
	"net/http"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/federation"
)

// Guards against a controller that ends: an operator asked for the state of hand-offs in the step in
// which it took the federation's leadership and had not loaded the records.
func TestOperatorsStatusRequestWaitsForTheRecords(t *testing.T) {
	w, _ := newFederatedWorld(t)
	former := w.cores["a"].federation.shard.leader
	w.crash(former)
	w.expire(former)
	next := ""
	if !w.run(30*time.Second, func() bool { next = w.unseenFederationLeader(former); return next != "" }) {
		t.Fatal("the federation has no other leader")
	}
	w.sendEvents(next)
	early, late := w.nextReq+1, w.nextReq+2
	w.nextReq += 2
	w.send(next, OperatorRequest{Req: early, Op: ActionStatus})
	w.step(next)
	if !w.cores[next].federation.running() {
		t.Fatal("it does not lead the federation")
	}
	if got := w.answers[early].Status; got != http.StatusServiceUnavailable {
		t.Errorf("a request before the records are loaded got %d", got)
	}
	w.send(next, OperatorRequest{Req: late, Op: ActionStatus})
	w.step(next)
	if status, is := w.answers[late].Body.(SiteStatus); !is || len(status.Status.Peers) != 1 || status.Status.Peers[0].Site != federation.Site("far") {
		t.Errorf("the state of hand-offs is %+v", w.answers[late].Body)
	}
}

// unseenFederationLeader names a controller that the store shows as the federation's leader, and that
// has not seen it.
func (w *world) unseenFederationLeader(former string) string {
	for _, node := range w.names {
		c := w.cores[node]
		item, stored := w.kv[keyFederation]
		if c == nil || !stored || item.Version <= c.federation.shard.version {
			continue
		}
		var leader leaderRecord
		if json.Unmarshal(item.Value, &leader) == nil && leader.Node == node && node != former {
			return node
		}
	}
	return ""
}
