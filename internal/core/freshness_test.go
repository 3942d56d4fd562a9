package core

import (
	"testing"
	"time"
)

// What proves up to when a controller knows of all confirmed cancellations: a reply of the store
// once the replica has reached it, and heartbeats that acknowledge its own.
func TestFreshUntil(t *testing.T) {
	const sent, later = 10 * time.Second, 20 * time.Second
	heartbeat := func(b NodeHeartbeat) func(c *Core) {
		return func(c *Core) {
			c.peers.get("c").freshUntil = later
			c.handleNodeHeartbeat("b", b)
		}
	}
	for name, d := range map[string]struct {
		happens func(c *Core)
		want    time.Duration
	}{
		"nothing":                   {func(*Core) {}, 0},
		"acknowledges":              {heartbeat(NodeHeartbeat{Revision: 5, Acknowledgements: []Acknowledgement{{"c", "b.1"}, {"a", "a.1"}}}), sent},
		"acknowledges another node": {heartbeat(NodeHeartbeat{Revision: 5, Acknowledgements: []Acknowledgement{{"c", "a.1"}}}), 0},
		"acknowledges a former run": {heartbeat(NodeHeartbeat{Revision: 5, Acknowledgements: []Acknowledgement{{"a", "x.1"}}}), 0},
		"has cancellations left":    {heartbeat(NodeHeartbeat{Revision: 5, Unacknowledged: []string{"a"}, Acknowledgements: []Acknowledgement{{"a", "a.1"}}}), 0},
		"has not loaded the state":  {heartbeat(NodeHeartbeat{Acknowledgements: []Acknowledgement{{"a", "a.1"}}}), 0},
		"one of two peers": {func(c *Core) {
			c.handleNodeHeartbeat("b", NodeHeartbeat{Revision: 5, Acknowledgements: []Acknowledgement{{"a", "a.1"}}})
		}, 0},
		"reply of the store":         {func(c *Core) { c.noteStoreReply(sent, StoreReply{Outcome: Conflict, Revision: 5}) }, sent},
		"reply ahead of the replica": {func(c *Core) { c.noteStoreReply(sent, StoreReply{Outcome: Applied, Revision: 6}) }, 0},
		"replica reaches the reply": {func(c *Core) {
			c.noteStoreReply(sent, StoreReply{Outcome: Applied, Revision: 6})
			c.applyEvents(StoreChanged{Revision: 6})
		}, sent},
		"replica stays short of it": {func(c *Core) {
			c.noteStoreReply(sent, StoreReply{Outcome: Applied, Revision: 8})
			c.applyEvents(StoreChanged{Revision: 7})
		}, 0},
		"refusal": {func(c *Core) { c.noteStoreReply(sent, StoreReply{Outcome: Refused, Revision: 5}) }, 0},
	} {
		c := New(testSettings("a"), newWorld(t).cores["a"].policy, "a")
		c.replica.revision, c.now.Steady = 5, sent
		c.freshness.nextHeartbeatID(c.members.incarnation)
		c.now.Steady = later
		d.happens(c)
		if got := c.freshness.until(); got != d.want {
			t.Errorf("%s: fresh until %v, want %v", name, got, d.want)
		}
	}
}
