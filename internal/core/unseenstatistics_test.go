package core

import (
	"testing"
	"time"
)

// Guards against statistics that report an ended job as the oldest pending one: a controller
// learned neither of the job's start nor of its end until it reloaded the stored state.
func TestJobsWithMissedEndsAreNotCountedAsPending(t *testing.T) {
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
		t.Fatal("the job did not end")
	}
	if oldest := w.oldestPending(node, "free"); oldest < 20*time.Second {
		t.Fatalf("got oldest pending job of %v at %s, want at least 20 s", oldest, node)
	}
	w.slowWatcher = ""
	w.read(node)
	w.restore()
	w.run(reportIntervals(2), nil)
	if oldest := w.oldestPending(node, "free"); oldest > 0 {
		t.Errorf("got oldest pending job of %v although all jobs have ended, want none", oldest)
	}
}

// oldestPending returns the waiting time of a team's oldest pending job in a controller's
// statistics.
func (w *world) oldestPending(node, team string) time.Duration {
	for _, row := range w.cores[node].statisticsReport().Rows {
		if row.Kind == "team" && row.Name == team {
			return row.Oldest
		}
	}
	return 0
}
