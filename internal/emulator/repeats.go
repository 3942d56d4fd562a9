package emulator

import (
	"slices"
	"time"

	"pepperlever/internal/protocol"
)

// maxRepeatLeases bounds when a copy of a delivery arrives, in worker leases after the delivery.
const maxRepeatLeases = 2

// repeatedDelivery is a copy of an executed delivery that is still on its way.
type repeatedDelivery struct {
	at      time.Duration
	machine string
	batch   protocol.CommandBatch
}

// mayRepeat draws whether a copy of an executed delivery arrives later, and when.
func (f *Fleet) mayRepeat(now time.Duration, id string, batch protocol.CommandBatch) {
	if f.rng.Float64() >= f.cfg.Workers.RepeatShare {
		return
	}
	delay := time.Duration(f.rng.Int64N(int64(maxRepeatLeases * seconds(f.cfg.Workers.LeaseS))))
	f.repeats = append(f.repeats, repeatedDelivery{at: now + delay, machine: id, batch: batch})
}

// executeRepeats executes the copies of deliveries that have arrived, if their tokens and epochs still
// match. Nobody waits for the answer.
func (f *Fleet) executeRepeats(now time.Duration) {
	f.repeats = slices.DeleteFunc(f.repeats, func(r repeatedDelivery) bool {
		if now < r.at {
			return false
		}
		if m := f.machines[r.machine]; m != nil && m.accepts(r.batch) {
			f.executeCommands(now, m, r.batch)
		}
		return true
	})
}

// accepts reports whether a worker accepts a delivery: it rejects those for another epoch or with a lower
// fencing token.
func (m *machine) accepts(batch protocol.CommandBatch) bool {
	return batch.Token >= m.Token && batch.WorkerEpoch == m.WorkerEpoch
}

// recordOverlap counts a task that starts on a machine while it is on another one.
func (f *Fleet) recordOverlap(started *machine, t *task) {
	for _, m := range f.machines {
		if m == started {
			continue
		}
		if slices.ContainsFunc(m.tasks, func(other *task) bool { return other.Task == t.Task && other.State != protocol.Exited }) {
			f.overlaps++
		}
	}
}

// Overlaps returns how often a task has started on a machine while it was on another one.
func (f *Fleet) Overlaps() int { return f.overlaps }
