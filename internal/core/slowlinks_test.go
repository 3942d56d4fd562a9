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
	cluster := newIdleSimCluster(t, 10)
	cluster.allowRacingStarts, cluster.latency, cluster.taskTime = true, true, 8*time.Second
	var ids []string
	for n := range 4 {
		for i, team := range []string{"red", "blue", "free"} {
			id := fmt.Sprintf("req-%s-%d", team, n)
			ids = append(ids, id)
			requireAccepted(t, cluster.submit(cluster.names[(n+i)%5], id, 12, []string{"", `,"urgency":"critical"`, `,"urgency":"low"`}[n%3]))
		}
	}
	delayed := 0
	for range 30 { // links delay all messages for three seconds and deliver them during the following second
		cluster.delayLinks(everyLink)
		cluster.run(3*time.Second, nil)
		for _, held := range cluster.heldMessages {
			delayed += len(held)
		}
		cluster.restoreLinks()
		cluster.run(time.Second, nil)
	}
	if delayed == 0 || cluster.cpusInUse("red") == 0 && cluster.startsOf("req-red-0") == 0 {
		t.Fatal("no message was delayed, or no task ran")
	}
	if !cluster.run(6*time.Minute, cluster.allDone(ids...)) {
		t.Error("jobs did not end")
	}
	for task, n := range cluster.starts {
		if n > 3 {
			t.Errorf("%s was started %d times, want at most 3", task, n)
		}
	}
}
