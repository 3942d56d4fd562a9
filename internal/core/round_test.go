package core

import (
	"fmt"
	"testing"
	"time"
)

// TestSmallArrayStartsBehindWideArray checks that a small array submitted after a wide one, which
// is served first, starts within minutes, and that the wide one keeps making progress.
func TestSmallArrayStartsBehindWideArray(t *testing.T) {
	cluster := newGPUSimCluster(t, 10, 0)
	cluster.taskTime = 20 * time.Second
	requireAccepted(t, cluster.submit("a", "req-free-wide", 600, ""))
	cluster.run(5*time.Second, nil)
	requireAccepted(t, cluster.submit("a", "req-free-small", 10, ""))
	if !cluster.run(3*time.Minute, func() bool { return cluster.startsOf("req-free-small") > 0 }) {
		t.Error("no task of the small array started within three minutes")
	}
	before := cluster.startsOf("req-free-wide")
	cluster.run(time.Minute, nil)
	if now := cluster.startsOf("req-free-wide"); now-before < 40 {
		t.Errorf("%d tasks of the wide array started in the following minute, want at least 40", now-before)
	}
}

// TestLargeTasksStartDespiteSmallTasks checks that small tasks do not fill every gap before it
// is large enough for a large task.
func TestLargeTasksStartDespiteSmallTasks(t *testing.T) {
	cluster := newIdleSimCluster(t, 10)
	submitSmallTasks := func(n int) {
		for _, team := range []string{"blue", "free"} {
			requireAccepted(t, cluster.submit("a", fmt.Sprintf("req-%s-%d", team, n), 60, `,"vcpus":1.0`))
			cluster.run(700*time.Millisecond, nil) // so that tasks end at different times
		}
	}
	for n := range 4 {
		submitSmallTasks(n)
	}
	requireAccepted(t, cluster.submit("a", "req-free-large", 20, `,"vcpus":4.0`))
	for n := range 30 {
		submitSmallTasks(4 + n)
	}
	cluster.run(30*time.Second, nil)
	if n := cluster.startsOf("req-free-large"); n < 10 {
		t.Errorf("%d of 20 large tasks started in 75 s, want at least 10", n)
	}
	if n := cluster.startsOf("req-blue-5"); n == 0 {
		t.Error("no small task started next to the large ones")
	}
	cluster.checkStartedOnce()
}
