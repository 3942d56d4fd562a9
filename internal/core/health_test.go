package core

import (
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
