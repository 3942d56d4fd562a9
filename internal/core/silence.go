package core

import (
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// isSilent tells whether nothing has been heard of a binding's machine for so
// long that the renter has to be asked: a renter that came after its last report
// does not know it. One that was given back by a renter which ended before it
// could say so kept its tasks bound for ever.
func (c *Core) isSilent(m *worker.Machine, b *job.Binding) bool {
	if m == nil {
		return c.now.Steady-b.Since > c.silenceLimit()
	}
	return c.now.Steady-max(m.LastContact, b.Since) > 2*c.silenceLimit() && c.knowsAllMachines()
}

// silenceLimit is how long a machine may say nothing before it is given up: a
// report may be late or lost, and a worker needs a time-out and a pause for
// each node that it tries in vain.
func (c *Core) silenceLimit() time.Duration {
	missing := c.members.missing()
	return 2*c.reportInterval() + time.Duration(1+missing)*(protocol.ReportTimeout+protocol.ReportPause)
}
