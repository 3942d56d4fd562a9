package core

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// A watch may fall too far behind during a series of machine losses. The stored state is then read
// again and must not replace the newer state that leaders have of their own jobs.
func TestSnapshotDuringMachineLossesKeepsLocalState(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	var ids []string
	for _, team := range []string{"red", "blue", "free"} {
		id := "req-" + team + "-1"
		requireAccepted(t, cluster.submit("a", id, 40, ""))
		ids = append(ids, id)
	}
	cluster.waitUntilStarted(ids[2], 4)
	for i := range 12 {
		cluster.sendSnapshotWhenReachable(nodeNames[i%len(nodeNames)])
		lost := 0
		for _, id := range slices.Sorted(maps.Keys(cluster.workers)) {
			if f := cluster.workers[id]; !f.dead && lost < 2 {
				f.dead = true
				lost++
			}
		}
		cluster.run(500*time.Millisecond, nil)
	}
	if !cluster.run(5*time.Minute, cluster.allDone(ids...)) {
		t.Fatal("jobs did not end")
	}
}
