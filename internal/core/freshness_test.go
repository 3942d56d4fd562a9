package core

import (
	"testing"
	"time"
)

// A controller knows every cancellation that was confirmed before it sent a request to the store,
// once its replica has reached the revision of the reply. It also knows every one that was
// confirmed before it sent a heartbeat, once all peers have acknowledged the heartbeat and report
// no cancellation that this controller has yet to acknowledge.
func TestFreshUntil(t *testing.T) {
	const sent, later = 10 * time.Second, 20 * time.Second
	heartbeat := func(b NodeHeartbeat) func(c *Core) {
		return func(c *Core) {
			c.peers.get("c").freshUntil = later
			c.handleNodeHeartbeat("b", b)
		}
	}
	for name, test := range map[string]struct {
		apply func(c *Core)
		want  time.Duration
	}{
		"no proof":                            {func(*Core) {}, 0},
		"acknowledges":                        {heartbeat(NodeHeartbeat{Revision: 5, Acknowledgements: []Acknowledgement{{"c", "b.1"}, {"a", "a.1"}}}), sent},
		"acknowledges another controller":     {heartbeat(NodeHeartbeat{Revision: 5, Acknowledgements: []Acknowledgement{{"c", "a.1"}}}), 0},
		"acknowledges an earlier incarnation": {heartbeat(NodeHeartbeat{Revision: 5, Acknowledgements: []Acknowledgement{{"a", "x.1"}}}), 0},
		"has unacknowledged cancellations":    {heartbeat(NodeHeartbeat{Revision: 5, Unacknowledged: []string{"a"}, Acknowledgements: []Acknowledgement{{"a", "a.1"}}}), 0},
		"has not loaded the state":            {heartbeat(NodeHeartbeat{Acknowledgements: []Acknowledgement{{"a", "a.1"}}}), 0},
		"acknowledgement of one of two peers": {func(c *Core) {
			c.handleNodeHeartbeat("b", NodeHeartbeat{Revision: 5, Acknowledgements: []Acknowledgement{{"a", "a.1"}}})
		}, 0},
		"reply from the store":       {func(c *Core) { c.recordStoreReply(sent, StoreReply{Outcome: OutcomeConflict, Revision: 5}) }, sent},
		"reply ahead of the replica": {func(c *Core) { c.recordStoreReply(sent, StoreReply{Outcome: OutcomeApplied, Revision: 6}) }, 0},
		"replica reaches the reply": {func(c *Core) {
			c.recordStoreReply(sent, StoreReply{Outcome: OutcomeApplied, Revision: 6})
			c.applyEvents(StoreChanged{Revision: 6})
		}, sent},
		"replica stays behind the reply": {func(c *Core) {
			c.recordStoreReply(sent, StoreReply{Outcome: OutcomeApplied, Revision: 8})
			c.applyEvents(StoreChanged{Revision: 7})
		}, 0},
		"refused request": {func(c *Core) { c.recordStoreReply(sent, StoreReply{Outcome: OutcomeRefused, Revision: 5}) }, 0},
	} {
		c := newStartedCore()
		c.replica.revision, c.now.Steady = 5, sent
		c.freshness.nextHeartbeatID(c.members.incarnation)
		c.now.Steady = later
		test.apply(c)
		if got := c.freshness.cancellationsKnownUntil(); got != test.want {
			t.Errorf("%s: fresh until %v, want %v", name, got, test.want)
		}
	}
}
