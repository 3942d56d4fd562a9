package core

import (
	"testing"

	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// A leader's write got no answer and is sent again, and its condition on the job fails: what
// the store holds is either that very write or another leader's, whatever it looks like.
func TestWriteOfAnotherLeaderIsNotTakenForOnesOwn(t *testing.T) {
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
			t.Errorf("%s: still leader %v, at version %d", name, team.leading, j.Version)
		}
	}
}
