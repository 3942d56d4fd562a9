package core

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// A machine whose reports arrive while it cannot be reached gets no tasks, since they would be lost
// when its lease expires (docs/fault-handling.md).
func TestUnreachableMachineGetsNoTasksUntilReachable(t *testing.T) {
	cluster, _ := newLoadedSimCluster(t, 10, "req-free-first")
	cluster.cloudDegraded, cluster.taskTime = true, 5*time.Second
	cluster.cancelJob("a", "req-free-first")
	unreachable := slices.Sorted(maps.Keys(cluster.workers))[:2]
	sent := map[string]int{}
	cluster.onEffect = func(_ string, e Effect) {
		if d, ok := e.(Deliver); ok {
			for _, cmd := range d.CommandBatch.Commands {
				if cmd.Op == protocol.OpStart {
					sent[d.Machine]++
				}
			}
		}
	}
	submitJobs := func(from, to int) {
		for n := from; n < to; n++ {
			requireAccepted(t, cluster.submit("a", fmt.Sprintf("req-free-%d", n), 20, ""))
			cluster.run(4*time.Second, nil)
		}
	}
	for _, id := range unreachable {
		cluster.workersReceivingNothing[id] = true
	}
	submitJobs(0, 4) // a machine counts as unreachable after two lost answers
	clear(sent)
	submitJobs(4, 9)
	for _, id := range unreachable {
		if sent[id] > 0 {
			t.Errorf("%s was sent %d starts that cannot reach it", id, sent[id])
		}
	}
	clear(cluster.workersReceivingNothing)
	cluster.run(12*time.Second, nil)
	for _, id := range unreachable {
		for _, node := range cluster.names {
			if cluster.cores[node].machines.Get(id).IsUnreachable() {
				t.Errorf("%s considers %s unreachable although it receives its answers", node, id)
			}
		}
	}
}

// A machine that stays unreachable is returned like an idle one.
func TestUnreachableMachineIsReturned(t *testing.T) {
	cluster, _ := newLoadedSimCluster(t, 10, "req-free-1")
	id := slices.Sorted(maps.Keys(cluster.workers))[2]
	cluster.workersReceivingNothing[id] = true
	if !cluster.run(time.Minute, func() bool { return cluster.workers[id] == nil }) {
		t.Error("machine was not returned within a minute")
	}
	if len(cluster.workers) < 9 {
		t.Errorf("%d machines are left, want at least 9", len(cluster.workers))
	}
}
