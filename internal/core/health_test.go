package core

import (
	"net/http"
	"strings"
	"testing"
	"time"
)

// A controller without the store is unhealthy while more than half of its peers reach the
// store, and healthy if at least half of them do not.
func TestHealthWhilePeersReachTheStore(t *testing.T) {
	for cut, healthy := range map[string]bool{"": true, "a": false, "ab": false, "abc": true, "abcd": true, "abcde": true} {
		cluster := newSimClusterOf(t, fiveNodes).waitUntilReady()
		cluster.run(10*time.Second, nil)
		for _, n := range cluster.names {
			cluster.send(n, StoreHealth{OK: !strings.Contains(cut, n)})
		}
		cluster.run(5*time.Second, nil)
		got := cluster.request("a", func(req uint64) Command { return Health{Req: req} }).Status == 200
		if got != healthy {
			t.Errorf("with %q cut off from the store, a is healthy: %v", cut, got)
		}
	}
}

// Guards against a load balancer that sends users to a controller that has just started and reaches neither
// the store nor any peer: peers that have not said so do not report an outage of the store.
func TestStartedControllerWithoutStoreIsUnhealthyUntilPeersReportOutage(t *testing.T) {
	hear := func(m PeerMessage) func(c *Core) {
		return func(c *Core) { c.handlePeerMessage(PeerMessageReceived{Node: "b", Message: m}) }
	}
	for name, test := range map[string]struct {
		event  func(c *Core)
		status int
	}{
		"nothing heard":                  {event: func(*Core) {}, status: http.StatusServiceUnavailable},
		"reports heard":                  {event: hear(PeerMessage{Observations: []Observation{}}), status: http.StatusServiceUnavailable},
		"a peer with the store heard":    {event: hear(PeerMessage{Heartbeat: &NodeHeartbeat{ID: "b1.1", StoreOK: true}}), status: http.StatusServiceUnavailable},
		"a peer without the store heard": {event: hear(PeerMessage{Heartbeat: &NodeHeartbeat{ID: "b1.1"}}), status: http.StatusOK},
	} {
		for _, age := range []time.Duration{time.Millisecond, reportIntervals(2) - 1} {
			c := newStartedCore()
			c.replica.loaded, c.storeOK = true, false
			c.handleCatalog(CatalogReceived{Types: newSimCluster(t).types})
			c.now.Steady = age
			test.event(c)
			c.health(Health{Req: 1})
			if got := c.effects[len(c.effects)-1].(Answer).Status; got != test.status {
				t.Errorf("%s, %v after the start: got status %d, want %d", name, age, got, test.status)
			}
		}
	}
}
