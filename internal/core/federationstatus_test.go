package core

import (
	"net/http"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/federation"
)

// This test guards against a panic that occurred when an operator requested the status of the
// federation in the same step in which the controller became the federation's leader, before the
// coordinator had loaded its records.
func TestOperatorStatusBeforeRecordsAreLoaded(t *testing.T) {
	cluster, _ := newFederatedSimCluster(t)
	former := cluster.cores["a"].federation.shard.leader
	cluster.crash(former)
	cluster.expire(former)
	next := ""
	if !cluster.run(30*time.Second, func() bool { next = cluster.unseenFederationLeader(former); return next != "" }) {
		t.Fatal("no other controller became the federation's leader")
	}
	cluster.sendEvents(next)
	early, late := cluster.nextReq+1, cluster.nextReq+2
	cluster.nextReq += 2
	cluster.send(next, OperatorRequest{Req: early, Op: ActionStatus})
	cluster.step(next)
	if !cluster.cores[next].federation.running() {
		t.Fatal("the new leader does not run the coordinator")
	}
	if got := cluster.answers[early].Status; got != http.StatusServiceUnavailable {
		t.Errorf("status of a request before the records are loaded: got %d, want 503", got)
	}
	cluster.send(next, OperatorRequest{Req: late, Op: ActionStatus})
	cluster.step(next)
	if status, ok := cluster.answers[late].Body.(SiteStatus); !ok || len(status.Status.Peers) != 1 || status.Status.Peers[0].Site != federation.Site("far") {
		t.Errorf("federation status: got %+v, want the single peer far", cluster.answers[late].Body)
	}
}

// unseenFederationLeader returns a controller other than former that is the federation's leader in
// the store but has not seen that yet, or "" if there is none.
func (cluster *simCluster) unseenFederationLeader(former string) string {
	for _, node := range cluster.names {
		c := cluster.cores[node]
		item, stored := cluster.kv[keyFederation]
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
