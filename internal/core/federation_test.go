package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// A controller without a federation configuration would run outgoing jobs. So nothing is handed off
// while such a controller is live, and one that joins after a hand-off leads no team.
func TestControllerWithoutFederationPreventsHandOffs(t *testing.T) {
	cluster, remote := newFederatedSimCluster(t)
	config := cluster.federationConfigs["c"]
	delete(cluster.federationConfigs, "c")
	cluster.crash("c")
	cluster.expire("c")
	cluster.boot("c")
	cluster.waitUntilReady()
	remote.submitRemote("req-red-1")
	if remote.serveUntil(20*time.Second, func() bool { return len(remote.answers) > 0 }) {
		t.Error("job was handed off while a controller had no federation configuration")
	}
	cluster.crash("c")
	cluster.expire("c")
	if !remote.serveUntil(time.Minute, func() bool { return len(remote.answers) > 0 }) {
		t.Fatal("job was not handed off after that controller had crashed")
	}
	cluster.boot("c")
	remote.serveFor(20 * time.Second)
	for _, team := range cluster.cores["c"].teams {
		if team.leading {
			t.Errorf("controller without a federation configuration leads team %s", team.Name)
		}
	}
	cluster.federationConfigs["c"] = config
}

// The coordinator's records match the store again after replies to its writes were lost.
func TestCoordinatorRecoversFromUnansweredWrites(t *testing.T) {
	cluster, remote := newFederatedSimCluster(t)
	remote.decide = func(federation.Message) federation.Message {
		cluster.lostReplies = 1 + len(remote.answers)%3 // the next writes of any controller
		return federation.Message{Kind: federation.KindDecision, Accepted: true}
	}
	remote.finalState = func() string { cluster.lostReplies++; return protocol.Done }
	for i := range 5 {
		remote.submitRemote(fmt.Sprintf("req-red-%d", i))
	}
	if !remote.serveUntil(3*time.Minute, cluster.allDone("req-red-0", "req-red-1", "req-red-2", "req-red-3", "req-red-4")) {
		t.Errorf("not all jobs ended: %+v", cluster.cores["a"].handoffs.Records)
	}
	if len(cluster.starts) > 0 {
		t.Errorf("tasks were started at this site: %v", cluster.starts)
	}
}
