package core

import (
	"fmt"
	"testing"
	"time"
)

// Small tasks take each gap before it is wide enough for a large one. A large task that
// asked for more than a small one which was stuck kept no host at all, and on a day with
// three tenths of the machines a quarter of the large jobs ended (shared day jadran-short).
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
