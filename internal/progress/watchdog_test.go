package progress

import (
	"strings"
	"testing"
	"time"
)

// Guards against a busy core that counts as stalled, and against a stall that is never reported.
func TestStallIsReportedAfterChecksWithoutProgress(t *testing.T) {
	counter := &Counter{}
	w := NewWatchdog(counter, "", time.Second, 3)
	for name, c := range []struct {
		advance bool
		stalled bool
	}{
		{true, false}, {false, false}, {false, false}, {true, false}, // a long unit of work
		{false, false}, {false, false}, {false, true}, {true, false}, // a stall
		{false, false}, {false, false}, {false, true}, // a second one
	} {
		if c.advance {
			counter.Advance()
		}
		stall := w.check()
		if (stall != nil) != c.stalled {
			t.Errorf("check %d: got %v, want stalled %v", name, stall, c.stalled)
		}
		if stall != nil && !strings.Contains(stall.Error(), "no unit of work in 3s") {
			t.Errorf("check %d: got error %q without the time", name, stall)
		}
	}
}

// Guards against a report of a stall that does not say where the goroutine is.
func TestStackOfFindsGoroutineByFunction(t *testing.T) {
	release := make(chan struct{})
	started := make(chan struct{})
	go func() { close(started); waitFor(release) }()
	<-started
	defer close(release)
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if stack := stackOf("progress.waitFor"); strings.Contains(stack, "waitFor") {
			return
		}
	}
	t.Error("the goroutine was not found")
}

// waitFor is the function that a goroutine of the test is in.
func waitFor(release <-chan struct{}) { <-release }
