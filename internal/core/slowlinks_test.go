package core

import (
	"fmt"
	"testing"
	"time"
)

// There is more work than capacity, at several priorities, and all links are slow: claims and
// starts take seconds. No machine is overcommitted for long, no limit is exceeded, and all jobs
// end.
func TestMoreWorkThanCapacityOverSlowLinks(t *testing.T) {
	w := idleWorld(t, 10)
	w.allowRacingStarts, w.latency, w.taskTime = true, true, 8*time.Second
	var ids []string
	for n := range 4 {
		for i, team := range []string{"red", "blue", "free"} {
			id := fmt.Sprintf("req-%s-%d", team, n)
			ids = append(ids, id)
			accepted(t, w.submit(w.names[(n+i)%5], id, 12, []string{"", `,"urgency":"critical"`, `,"urgency":"low"`}[n%3]))
		}
	}
	delayed := 0
	for range 30 { // links delay all messages for three seconds and deliver them during the next
		w.hold(everyLink)
		w.run(3*time.Second, nil)
		for _, held := range w.heldMessages {
			delayed += len(held)
		}
		w.restore()
		w.run(time.Second, nil)
	}
	if delayed == 0 || w.inUse("red") == 0 && w.startsOf("req-red-0") == 0 {
		t.Fatal("no message was delayed, or no task ran")
	}
	if !w.run(6*time.Minute, w.finished(ids...)) {
		t.Error("jobs did not end")
	}
	for task, n := range w.starts {
		if n > 3 {
			t.Errorf("%s was started %d times, want at most 3", task, n)
		}
	}
}
