package core

import (
	"testing"
	"time"
)

// Guards against statistics that name a job that has ended as the oldest that waits: a controller that
// heard nothing of it until it read the stored state again.
func TestJobsThatEndedUnseenAreNotCountedAsPending(t *testing.T) {
	w := idleWorld(t, 10)
	w.allowRacingStarts, w.taskTime = true, 20*time.Second
	accepted(t, w.submit("a", "req-red-1", 1, ""))
	w.started("req-red-1", 1)
	accepted(t, w.submit("a", "req-free-1", 1, awaiting("req-red-1")))
	w.run(time.Second, nil)
	node := w.anotherNode(w.leaderOf("free"))
	w.slowWatcher = node
	w.refuse(func(from, to string) bool { return from == node || to == node })
	if !w.run(2*time.Minute, w.finished("req-free-1")) {
		t.Fatal("the job does not end")
	}
	if oldest := w.oldestPending(node, "free"); oldest < 20*time.Second {
		t.Fatalf("the job has waited for %v as far as %s knows", oldest, node)
	}
	w.slowWatcher = ""
	w.read(node)
	w.restore()
	w.run(reportIntervals(2), nil)
	if oldest := w.oldestPending(node, "free"); oldest > 0 {
		t.Errorf("a job that has ended is pending for %v", oldest)
	}
}

// oldestPending is for how long the oldest pending job of a team has waited, as a controller counts.
func (w *world) oldestPending(node, team string) time.Duration {
	for _, row := range w.cores[node].statisticsReport().Rows {
		if row.Kind == "team" && row.Name == team {
			return row.Oldest
		}
	}
	return 0
}
