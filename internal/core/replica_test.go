package core

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// A watch may fall too far behind during a series of machine losses. The stored state is then read
// again and must not replace the newer state of jobs that this node leads.
func TestSnapshotDuringMachineLossesKeepsLocalState(t *testing.T) {
	w := newWorld(t).ready()
	var ids []string
	for _, team := range []string{"red", "blue", "free"} {
		id := "req-" + team + "-1"
		accepted(t, w.submit("a", id, 40, ""))
		ids = append(ids, id)
	}
	w.started(ids[2], 4)
	for i := range 12 {
		w.load(nodeNames[i%len(nodeNames)])
		lost := 0
		for _, id := range slices.Sorted(maps.Keys(w.workers)) {
			if f := w.workers[id]; !f.dead && lost < 2 {
				f.dead = true
				lost++
			}
		}
		w.run(500*time.Millisecond, nil)
	}
	if !w.run(5*time.Minute, w.finished(ids...)) {
		t.Fatal("jobs did not end")
	}
}
