package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"
)

// TestSameCommandsGiveTheSameEffects checks that the core is deterministic: the same commands
// produce the same effects in the same order. Otherwise a failed simulation could not be replayed
// to find its cause.
func TestSameCommandsGiveTheSameEffects(t *testing.T) {
	script := func() []string {
		cluster := newSimCluster(t)
		var out []string
		cluster.onEffect = func(node string, e Effect) {
			raw, err := json.Marshal(e)
			if err != nil {
				t.Fatal(err)
			}
			out = append(out, fmt.Sprintf("%v %s %T %s", cluster.now, node, e, raw))
		}
		cluster.waitUntilReady()
		for i := range 6 {
			cluster.submit(nodeNames[i%3], fmt.Sprintf("req-%s-%d", []string{"red", "blue", "free"}[i%3], i), 5+7*i, "")
		}
		cluster.run(5*time.Second, nil)
		cluster.cancelJob("b", "req-blue-1")
		cluster.outage = true
		cluster.run(5*time.Second, nil)
		cluster.outage = false
		cluster.crash("a")
		cluster.expire("a")
		cluster.run(5*time.Second, nil)
		cluster.boot("a")
		cluster.run(time.Minute, nil)
		return out
	}
	first := script()
	for range 3 {
		again := script()
		for i := range first {
			if i >= len(again) || first[i] != again[i] {
				t.Fatalf("effect %d of %d differs between runs:\nfirst %.300s\nagain %.300s", i, len(first), first[i], again[min(i, len(again)-1)])
			}
		}
	}
}
