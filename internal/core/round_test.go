package core

import (
	"fmt"
	"testing"
	"time"
)

// TestSmallArrayStartsBehindWideArray checks that a small array submitted after a wide one, which
// is served first, starts within minutes, and that the wide one keeps making progress.
func TestSmallArrayStartsBehindWideArray(t *testing.T) {
	w := gpuWorld(t, 10, 0)
	w.taskTime = 20 * time.Second
	accepted(t, w.submit("a", "req-free-wide", 600, ""))
	w.run(5*time.Second, nil)
	accepted(t, w.submit("a", "req-free-small", 10, ""))
	if !w.run(3*time.Minute, func() bool { return w.startsOf("req-free-small") > 0 }) {
		t.Error("no task of the small array started within three minutes")
	}
	before := w.startsOf("req-free-wide")
	w.run(time.Minute, nil)
	if now := w.startsOf("req-free-wide"); now-before < 40 {
		t.Errorf("%d tasks of the wide array started in the following minute, want at least 40", now-before)
	}
}

// TestLargeTasksAreNotStarvedBySmallTasks checks that small tasks do not fill every gap before it
// is large enough for a large task.
func TestLargeTasksAreNotStarvedBySmallTasks(t *testing.T) {
	w := idleWorld(t, 10)
	submitSmallTasks := func(n int) {
		for _, team := range []string{"blue", "free"} {
			accepted(t, w.submit("a", fmt.Sprintf("req-%s-%d", team, n), 60, `,"vcpus":1.0`))
			w.run(700*time.Millisecond, nil) // so that tasks end at different times
		}
	}
	for n := range 4 {
		submitSmallTasks(n)
	}
	accepted(t, w.submit("a", "req-free-large", 20, `,"vcpus":4.0`))
	for n := range 30 {
		submitSmallTasks(4 + n)
	}
	w.run(30*time.Second, nil)
	if n := w.startsOf("req-free-large"); n < 10 {
		t.Errorf("%d of 20 large tasks started in 75 s, want at least 10", n)
	}
	if n := w.startsOf("req-blue-5"); n == 0 {
		t.Error("no small task started next to the large ones")
	}
	w.startedOnce()
}
