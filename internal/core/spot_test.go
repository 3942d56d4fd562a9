package core

import (
	"testing"
	"time"
)

// restartDelay starts a long task and lets lose act on its machine; it tells how long the
// task's second start took.
func restartDelay(t *testing.T, lose func(w *world, f *fakeWorker)) time.Duration {
	t.Helper()
	w := newWorld(t).ready()
	w.submit("a", "req-blue-1", 1, `,"guessS":400.0`)
	w.started("req-blue-1", 1)
	w.run(15*time.Second, nil) // the machine is known and listed for long
	w.submit("a", "req-blue-2", 1, `,"guessS":400.0`)
	w.started("req-blue-2", 1)
	for _, c := range w.cores {
		for id := range c.autoscaler.firstSeen {
			c.autoscaler.firstSeen[id] -= time.Minute // all were rented long ago
		}
	}
	for _, f := range w.workers {
		for _, task := range f.Tasks {
			if task.Task == "req-blue-2/0" {
				lose(w, f)
			}
		}
	}
	from := w.now
	w.run(time.Minute, func() bool { return w.starts["req-blue-2/0"] > 1 })
	return w.now - from
}

// TestTasksOfAReclaimedMachineRestartElsewhereAtOnce checks that the notice of a machine's end is
// enough: its silence is not waited for.
func TestTasksOfAReclaimedMachineRestartElsewhereAtOnce(t *testing.T) {
	late := restartDelay(t, func(w *world, f *fakeWorker) {
		notice := 1.0
		f.NoticeS = &notice
		w.report(f)
		f.dead = true
	})
	if limit := 4 * time.Second; late > limit {
		t.Errorf("took %v", late)
	}
}

// TestTaskThatCannotEndBeforeReclaimMovesAtOnce checks that a task that would be cut short is
// moved while its machine still runs.
func TestTaskThatCannotEndBeforeReclaimMovesAtOnce(t *testing.T) {
	late := restartDelay(t, func(w *world, f *fakeWorker) {
		notice := 30.0
		f.NoticeS = &notice
		w.report(f)
	})
	if limit := 4 * time.Second; late > limit {
		t.Errorf("took %v", late)
	}
}

// TestUnlistedSilentMachineIsReturnedSooner checks that without a notice the cloud's list tells
// sooner than the machine's silence.
func TestUnlistedSilentMachineIsReturnedSooner(t *testing.T) {
	hung := restartDelay(t, func(_ *world, f *fakeWorker) { f.dead = true })
	taken := restartDelay(t, func(w *world, f *fakeWorker) {
		f.dead = true
		w.unlisted = f.Machine
	})
	if taken >= hung {
		t.Errorf("a machine that is gone took %v, one that hangs %v", taken, hung)
	}
}
