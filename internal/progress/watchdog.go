package progress

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"strings"
	"time"
)

// StallError reports that a goroutine has finished no unit of work for too long.
type StallError struct {
	// Units is the number of units that were finished before.
	Units uint64
	// Checks is the number of checks in a row that found no progress, Interval the time between them.
	Checks   int
	Interval time.Duration
}

// Error returns a message with the time without progress.
func (e *StallError) Error() string {
	return fmt.Sprintf("core makes no progress: no unit of work in %v after %d units", time.Duration(e.Checks)*e.Interval, e.Units)
}

// Watchdog reports that a counter stands still. It counts its own checks instead of the time that has
// passed: a process that was suspended has missed them all, and its goroutines have to run before any
// of them can be found stalled.
type Watchdog struct {
	counter *Counter
	// function is the outermost function of the observed goroutine, by which its stack is found.
	function string
	interval time.Duration
	limit    int

	// lastUnits is what the counter showed at the last check, idleChecks the number of checks
	// since it changed.
	lastUnits  uint64
	idleChecks int
}

// NewWatchdog returns a Watchdog that checks the counter at each interval and reports a stall once limit
// checks in a row have found no progress. function names the outermost function of the goroutine that
// advances the counter.
func NewWatchdog(counter *Counter, function string, interval time.Duration, limit int) *Watchdog {
	return &Watchdog{counter: counter, function: function, interval: interval, limit: limit}
}

// Run checks the counter until ctx is done. It logs a stall with the stack of the goroutine and returns
// it as a StallError.
func (w *Watchdog) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if stall := w.check(); stall != nil {
			slog.Error("core makes no progress", "units", stall.Units, "checks", stall.Checks, "interval", stall.Interval, "stack", stackOf(w.function))
			return stall
		}
	}
}

// check compares the counter with the last check, and returns a StallError when the limit is reached.
func (w *Watchdog) check() *StallError {
	units := w.counter.Units()
	if units != w.lastUnits {
		w.lastUnits, w.idleChecks = units, 0
		return nil
	}
	w.idleChecks++
	if w.idleChecks < w.limit {
		return nil
	}
	return &StallError{Units: units, Checks: w.idleChecks, Interval: w.interval}
}

// maxStackBytes limits the stacks of all goroutines that are searched for the one that is logged.
const maxStackBytes = 1 << 20

// stackOf returns the stack of the first goroutine that runs a function, or "" if there is none.
func stackOf(function string) string {
	all := make([]byte, maxStackBytes)
	all = all[:runtime.Stack(all, true)]
	for stack := range strings.SplitSeq(string(all), "\n\n") {
		if strings.Contains(stack, function+"(") {
			return stack
		}
	}
	return ""
}
