package core

import (
	"testing"

	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// A leader's write gets no reply and is sent again, and then its condition on the head fails. The
// nonce tells whether the stored head is from the leader's own first write or from another leader.
func TestConflictingWriteIsAttributedByNonce(t *testing.T) {
	for name, own := range map[string]bool{"own": true, "another's": false} {
		w := newWorld(t).ready()
		accepted(t, w.submit("a", "req-free-1", 3, ""))
		w.started("req-free-1", 3)
		c := w.cores[w.cores["a"].teamBy["free"].leader]
		j, team := c.jobs["req-free-1"], c.teamBy["free"]
		u := &jobUpdate{team: team, job: j, nonce: "mine", retries: 1}
		nonce := "another's"
		if own {
			nonce = u.nonce
		}
		c.writer.onHeadRead(u, StoreReply{
			Outcome: Applied,
			Item:    protocol.KeyValue{Value: mustjson.Marshal(map[string]string{"w": nonce}), Version: 99},
		})
		if team.leading != own || own && j.Version != 99 {
			t.Errorf("%s: leading %v, job version %d", name, team.leading, j.Version)
		}
	}
}
