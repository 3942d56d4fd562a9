package core

import (
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// isSilent tells whether nothing has been heard of a binding's machine for so long that the
// autoscaler has to be asked: one that became leader after the machine's last report does not
// know of it.
func (c *Core) isSilent(m *worker.Machine, b *job.Binding) bool {
	if m == nil {
		return c.now.Steady-b.Since > c.silenceLimit()
	}
	lastSign := max(m.LastContact, b.Since)
	return c.now.Steady-lastSign > 2*c.silenceLimit() && c.knowsAllMachines()
}

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
func (c *Core) reportOverdue(m *worker.Machine) bool {
	return c.now.Steady-m.LastReport >= 2*c.reportInterval()+c.reportInterval()/2
}
