package core

import (
	"slices"
	"testing"
	"time"
)

// After an outage in which all controllers crashed, each finds in the stored state that a job was
// cancelled long ago, and nothing of where its tasks are, though they ended in time.
// Machines are returned only once reports had time to come.
func TestRestartedControllersWaitForReportsBeforeReturningMachines(t *testing.T) {
	w := idleWorld(t, 20)
	w.allowRacingStarts, w.taskTime = true, 10*time.Minute
	accepted(t, w.submit("a", cancelledJob, 40, ""))
	w.started(cancelledJob, 40)
	w.send("a", Cancel{Req: 1 << 20, ID: cancelledJob})
	if !w.run(time.Second, func() bool { return w.kv[cancelKey(cancelledJob)].Version > 0 }) {
		t.Fatal("the cancellation is not stored")
	}
	w.outage = true // the ends of the tasks are not
	w.run(w.cancelDeadline()*45/100, nil)
	for _, n := range w.names {
		w.crash(n)
		w.expire(n)
	}
	w.run(time.Second, nil)
	returned := 0
	w.onEffect = func(node string, e Effect) {
		if l, is := e.(Log); is && slices.Contains(l.Attrs, any(reasonTaskNotStopped)) {
			returned++
		}
	}
	w.outage = false
	for _, n := range w.names {
		w.boot(n)
	}
	w.run(w.cancelDeadline(), nil)
	if returned > 0 || w.onMachines(cancelledJob) > 0 {
		t.Errorf("%d times a machine was returned, %d tasks are left", returned, w.onMachines(cancelledJob))
	}
}

// A leader that was cut off comes back, and hears all at once of a job that was cancelled long ago.
// What it last knew of the machines says nothing of where its tasks are.
func TestReconnectedLeaderReturnsNoMachines(t *testing.T) {
	w := idleWorld(t, 20)
	w.allowRacingStarts, w.taskTime = true, 10*time.Minute
	accepted(t, w.submit("b", cancelledJob, 30, ""))
	w.started(cancelledJob, 30)
	old := w.cores["b"].teamBy["free"].leader
	w.isolate(old)
	w.run(reportIntervals(2), nil)
	w.confirmCancellation()
	w.run(w.cancelDeadline(), nil)
	returned := 0
	w.onEffect = func(_ string, e Effect) {
		if l, is := e.(Log); is && l.Level == Info && slices.Contains(l.Attrs, any(reasonTaskNotStopped)) && l.Text != "machine returned" {
			returned++
		}
	}
	accepted(t, w.submit(w.nodeWithStore(), "req-free-2", 30, ""))
	w.heal()
	w.run(w.cancelDeadline(), nil)
	if returned > 0 {
		t.Errorf("machines are returned %d times", returned)
	}
}
