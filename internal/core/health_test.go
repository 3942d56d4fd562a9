package core

import (
	"strings"
	"testing"
	"time"
)

// A controller without the store is unhealthy while most of its peers have it, also where another
// one lacks it too, and healthy in an outage for most of them.
func TestHealthWhilePeersReachTheStore(t *testing.T) {
	for cut, healthy := range map[string]bool{"": true, "a": false, "ab": false, "abc": true, "abcd": true, "abcde": true} {
		w := newWorldOf(t, fiveNodes).ready()
		w.run(10*time.Second, nil)
		for _, n := range w.names {
			w.send(n, StoreHealth{OK: !strings.Contains(cut, n)})
		}
		w.run(5*time.Second, nil)
		got := w.request("a", func(req uint64) Command { return Health{Req: req} }).Status == 200
		if got != healthy {
			t.Errorf("with %q cut off a is healthy: %v", cut, got)
		}
	}
}
