package core

import (
	"testing"

	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// A leader's write gets no reply and is sent again, and then its condition on the head fails. The
// nonce shows whether the stored head is from the leader's own first write or from another leader.
func TestConflictingWriteIsAttributedByNonce(t *testing.T) {
	for name, own := range map[string]bool{"own": true, "another's": false} {
		cluster := newSimCluster(t).waitUntilReady()
		requireAccepted(t, cluster.submit("a", "req-free-1", 3, ""))
		cluster.waitUntilStarted("req-free-1", 3)
		c := cluster.cores[cluster.cores["a"].teamsByName["free"].leader]
		j, team := c.jobs["req-free-1"], c.teamsByName["free"]
		u := &jobUpdate{team: team, job: j, nonce: "mine", retries: 1}
		nonce := "another's"
		if own {
			nonce = u.nonce
		}
		c.writer.onHeadRead(u, StoreReply{
			Outcome: OutcomeApplied,
			Item:    protocol.KeyValue{Value: mustjson.Marshal(map[string]string{"w": nonce}), Version: 99},
		})
		if team.leading != own || own && j.Version != 99 {
			t.Errorf("%s: leading %v, job version %d", name, team.leading, j.Version)
		}
	}
}
