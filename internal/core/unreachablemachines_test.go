package core

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// A machine whose reports arrive while it cannot be reached gets no tasks, since they would be
// lost when its lease ends (docs/fault-handling.md).
func TestUnreachableMachineGetsNoTasksUntilReachable(t *testing.T) {
	w, _ := loadedWorld(t, 10, "req-free-first")
	w.noCloud, w.taskTime = true, 5*time.Second
	w.cancelJob("a", "req-free-first")
	unreachable := slices.Sorted(maps.Keys(w.workers))[:2]
	sent := map[string]int{}
	w.onEffect = func(_ string, e Effect) {
		if d, ok := e.(Deliver); ok {
			for _, cmd := range d.Orders.Commands {
				if cmd.Op == protocol.OpStart {
					sent[d.Machine]++
				}
			}
		}
	}
	submitJobs := func(from, to int) {
		for n := from; n < to; n++ {
			accepted(t, w.submit("a", fmt.Sprintf("req-free-%d", n), 20, ""))
			w.run(4*time.Second, nil)
		}
	}
	for _, id := range unreachable {
		w.unreachableWorkers[id] = true
	}
	submitJobs(0, 4) // a machine counts as unreachable after two lost answers
	clear(sent)
	submitJobs(4, 9)
	for _, id := range unreachable {
		if sent[id] > 0 {
			t.Errorf("%s was sent %d starts that cannot reach it", id, sent[id])
		}
	}
	clear(w.unreachableWorkers)
	w.run(12*time.Second, nil)
	for _, id := range unreachable {
		for _, node := range w.names {
			if w.cores[node].machines.Get(id).IsUnreachable() {
				t.Errorf("%s considers %s unreachable although it receives its answers", node, id)
			}
		}
	}
}

// A machine that stays unreachable is returned like an idle one.
func TestUnreachableMachineIsReturned(t *testing.T) {
	w, _ := loadedWorld(t, 10, "req-free-1")
	id := slices.Sorted(maps.Keys(w.workers))[2]
	w.unreachableWorkers[id] = true
	if !w.run(time.Minute, func() bool { return w.workers[id] == nil }) {
		t.Error("machine was not returned within a minute")
	}
	if len(w.workers) < 9 {
		t.Errorf("%d machines are left, want at least 9", len(w.workers))
	}
}
