package core

import (
	"slices"
	"testing"
	"time"
)

// Guards against returning machines needlessly after an outage in which all controllers crashed.
// Each finds in the stored state that a job was cancelled long ago but not that its tasks have
// ended, and returns machines only once worker reports had time to arrive.
func TestRestartedControllersWaitForReportsBeforeReturningMachines(t *testing.T) {
	w := idleWorld(t, 20)
	w.allowRacingStarts, w.taskTime = true, 10*time.Minute
	accepted(t, w.submit("a", cancelledJob, 40, ""))
	w.started(cancelledJob, 40)
	w.send("a", Cancel{Req: 1 << 20, ID: cancelledJob})
	if !w.run(time.Second, func() bool { return w.kv[cancelKey(cancelledJob)].Version > 0 }) {
		t.Fatal("the cancellation was not stored")
	}
	w.outage = true // the ends of the tasks are not stored
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
		t.Errorf("got %d machine returns and %d running tasks, want none", returned, w.onMachines(cancelledJob))
	}
}

// Guards against a leader that reconnects after a partition, learns of a job that was cancelled
// long ago and returns machines because of outdated information about where the job's tasks are.
func TestReconnectedLeaderReturnsNoMachines(t *testing.T) {
	w := idleWorld(t, 20)
	w.allowRacingStarts, w.taskTime = true, 10*time.Minute
	accepted(t, w.submit("b", cancelledJob, 30, ""))
	w.started(cancelledJob, 30)
	oldLeader := w.cores["b"].teamBy["free"].leader
	w.isolate(oldLeader)
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
		t.Errorf("got %d machine returns, want none", returned)
	}
}
