package core

import (
	"time"

	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// silenceTimeout returns how long a machine may go without contact before it is considered lost. A
// report may be late or lost, and a worker spends a timeout and a pause on each unavailable
// controller that it tries.
func (c *Core) silenceTimeout() time.Duration {
	attempts := 1 + c.members.missing()
	return 2*c.reportInterval() + time.Duration(attempts)*(protocol.ReportTimeout+protocol.ReportRetryDelay)
}

// reportOverdue reports whether the reports that a machine's worker sends on its own have stopped
// arriving, even though the worker may still reply to deliveries. Such a machine is probed for the
// outcomes of its tasks. It gets no new tasks, since these would be lost when its worker lease ends
// (docs/incidents/mute.md). A machine that is known by its replies alone is overdue too.
func (e *environment) reportOverdue(m *worker.Machine) bool {
	return !m.LastReport.Within(e.now.Steady, 2*e.reportInterval()+e.reportInterval()/2)
}
