package core

import (
	"testing"
	"time"
)

// What proves up to when a controller knows of all confirmed cancellations: a reply of the store
// once the replica has reached it, and heartbeats that acknowledge its own.
func TestFreshUntil(t *testing.T) {
	const sent, later = 10 * time.Second, 20 * time.Second
	beat := func(b NodeHeartbeat) func(c *Core) {
		return func(c *Core) {
			c.peers.get("c").freshUntil = later
			c.handleNodeHeartbeat("b", b)
		}
	}
	for name, d := range map[string]struct {
		happens func(c *Core)
		want    time.Duration
	}{
		"nothing":                        {func(*Core) {}, 0},
		"a beat that answers":            {beat(NodeHeartbeat{Revision: 5, Acknowledgements: []Acknowledgement{{"c", "b.1"}, {"a", "a.1"}}}), sent},
		"one that answers another's":     {beat(NodeHeartbeat{Revision: 5, Acknowledgements: []Acknowledgement{{"c", "a.1"}}}), 0},
		"one that answers a former run":  {beat(NodeHeartbeat{Revision: 5, Acknowledgements: []Acknowledgement{{"a", "x.1"}}}), 0},
		"one that owes others":           {beat(NodeHeartbeat{Revision: 5, Unacknowledged: []string{"a"}, Acknowledgements: []Acknowledgement{{"a", "a.1"}}}), 0},
		"one of a run that has not read": {beat(NodeHeartbeat{Acknowledgements: []Acknowledgement{{"a", "a.1"}}}), 0},
		"one of two others": {func(c *Core) {
			c.handleNodeHeartbeat("b", NodeHeartbeat{Revision: 5, Acknowledgements: []Acknowledgement{{"a", "a.1"}}})
		}, 0},
		"an answer of the state service":   {func(c *Core) { c.noteStoreReply(sent, StoreReply{Outcome: Conflict, Revision: 5}) }, sent},
		"one that the replica is short of": {func(c *Core) { c.noteStoreReply(sent, StoreReply{Outcome: Applied, Revision: 6}) }, 0},
		"the replica gets there": {func(c *Core) {
			c.noteStoreReply(sent, StoreReply{Outcome: Applied, Revision: 6})
			c.applyEvents(StoreChanged{Revision: 6})
		}, sent},
		"it gets half way": {func(c *Core) {
			c.noteStoreReply(sent, StoreReply{Outcome: Applied, Revision: 8})
			c.applyEvents(StoreChanged{Revision: 7})
		}, 0},
		"a refusal": {func(c *Core) { c.noteStoreReply(sent, StoreReply{Outcome: Refused, Revision: 5}) }, 0},
	} {
		c := New(testSettings("a"), newWorld(t).cores["a"].policy, "a")
		c.replica.revision, c.now.Steady = 5, sent
		c.freshness.nextHeartbeatID(c.members.incarnation, c.now.Steady)
		c.now.Steady = later
		d.happens(c)
		if got := c.freshUntil(); got != d.want {
			t.Errorf("%s: sure until %v, not %v", name, got, d.want)
		}
	}
}
