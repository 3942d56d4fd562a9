package core

import (
	"time"

	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// silenceLimit is how long a machine may say nothing before it is given up: a report may be
// late or lost, and a worker needs a time-out and a pause for each controller that it tries in
// vain.
func (c *Core) silenceLimit() time.Duration {
	attempts := 1 + c.members.missing()
	return 2*c.reportInterval() + time.Duration(attempts)*(protocol.ReportTimeout+protocol.ReportPause)
}

// reportOverdue tells whether a machine's reports don't come, though it may answer direct
// calls. Such a machine is probed, so that the ends of its tasks are known, and gets nothing
// new, which would be lost when its lease ends (docs/incidents/mute.md).
func (e *environment) reportOverdue(m *worker.Machine) bool {
	return e.now.Steady-m.LastReport >= 2*e.reportInterval()+e.reportInterval()/2
}
