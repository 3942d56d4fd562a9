package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"
)

// TestSameCommandsGiveTheSameEffects checks that the core is deterministic: the same commands produce
// the same effects in the same order. Otherwise a failed simulation could not be replayed to find
// its cause.
func TestSameCommandsGiveTheSameEffects(t *testing.T) {
	script := func() []string {
		w := newWorld(t)
		var out []string
		w.onEffect = func(node string, e Effect) {
			raw, err := json.Marshal(e)
			if err != nil {
				t.Fatal(err)
			}
			out = append(out, fmt.Sprintf("%v %s %T %s", w.now, node, e, raw))
		}
		w.ready()
		for i := range 6 {
			w.submit(nodeNames[i%3], fmt.Sprintf("req-%s-%d", []string{"red", "blue", "free"}[i%3], i), 5+7*i, "")
		}
		w.run(5*time.Second, nil)
		w.cancelJob("b", "req-blue-1")
		w.outage = true
		w.run(5*time.Second, nil)
		w.outage = false
		w.crash("a")
		w.expire("a")
		w.run(5*time.Second, nil)
		w.boot("a")
		w.run(time.Minute, nil)
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
