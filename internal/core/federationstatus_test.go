package core

import (
	"net/http"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/federation"
)

// Guards against a panic: an operator requested the status of the federation in the same step in
// which the controller became the federation's leader, before the coordinator had loaded its
// records.
func TestOperatorStatusBeforeRecordsAreLoaded(t *testing.T) {
	w, _ := newFederatedWorld(t)
	former := w.cores["a"].federation.shard.leader
	w.crash(former)
	w.expire(former)
	next := ""
	if !w.run(30*time.Second, func() bool { next = w.unseenFederationLeader(former); return next != "" }) {
		t.Fatal("no other controller became the federation's leader")
	}
	w.sendEvents(next)
	early, late := w.nextReq+1, w.nextReq+2
	w.nextReq += 2
	w.send(next, OperatorRequest{Req: early, Op: ActionStatus})
	w.step(next)
	if !w.cores[next].federation.running() {
		t.Fatal("the new leader does not run the coordinator")
	}
	if got := w.answers[early].Status; got != http.StatusServiceUnavailable {
		t.Errorf("status of a request before the records are loaded: got %d, want 503", got)
	}
	w.send(next, OperatorRequest{Req: late, Op: ActionStatus})
	w.step(next)
	if status, ok := w.answers[late].Body.(SiteStatus); !ok || len(status.Status.Peers) != 1 || status.Status.Peers[0].Site != federation.Site("far") {
		t.Errorf("federation status: got %+v, want the single peer far", w.answers[late].Body)
	}
}

// unseenFederationLeader returns a controller other than former that is the federation's leader in
// the store but has not seen that yet, or "" if there is none.
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
