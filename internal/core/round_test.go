package core

import (
	"fmt"
	"testing"
	"time"
)

// TestSmallArrayBeginsBehindWideOnes checks that an array that comes behind a wide one, which is
// served first, begins within minutes all the same, and that the wide one goes on.
func TestSmallArrayBeginsBehindWideOnes(t *testing.T) {
	w := gpuWorld(t, 10, 0)
	w.taskTime = 20 * time.Second
	accepted(t, w.submit("a", "req-free-wide", 600, ""))
	w.run(5*time.Second, nil)
	accepted(t, w.submit("a", "req-free-small", 10, ""))
	if !w.run(3*time.Minute, func() bool { return w.startsOf("req-free-small") > 0 }) {
		t.Error("not one task has begun after three minutes")
	}
	before := w.startsOf("req-free-wide")
	w.run(time.Minute, nil)
	if now := w.startsOf("req-free-wide"); now-before < 40 {
		t.Errorf("%d tasks of the wide array were started in a minute beside it", now-before)
	}
}

// TestLargeTasksGetRoomInAFloodOfSmallOnes checks that small tasks do not take each gap before it
// is wide enough for a large one.
func TestLargeTasksGetRoomInAFloodOfSmallOnes(t *testing.T) {
	w := idleWorld(t, 10)
	flood := func(n int) {
		for _, team := range []string{"blue", "free"} {
			accepted(t, w.submit("a", fmt.Sprintf("req-%s-%d", team, n), 60, `,"vcpus":1.0`))
			w.run(700*time.Millisecond, nil) // their tasks end at different moments
		}
	}
	for n := range 4 {
		flood(n)
	}
	accepted(t, w.submit("a", "req-free-large", 20, `,"vcpus":4.0`))
	for n := range 30 {
		flood(4 + n)
	}
	w.run(30*time.Second, nil)
	if n := w.startsOf("req-free-large"); n < 10 {
		t.Errorf("%d of 20 large tasks were started in 75 s", n)
	}
	if n := w.startsOf("req-blue-5"); n == 0 {
		t.Error("small tasks do not go on beside them")
	}
	w.startedOnce()
}
