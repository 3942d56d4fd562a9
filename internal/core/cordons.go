package core

import (
	"slices"

	"pepperlever/internal/core/job"
)

// onCordonPut notes that a machine takes no bindings. If it is gone for good, that ends every
// binding on it.
func (c *Core) onCordonPut(machine string, record cordonRecord) {
	if known, ok := c.cordons[machine]; ok && known.version >= record.version {
		return
	}
	record.since = c.now.Steady
	c.cordons[machine] = record
	c.requestRound()
	c.expediteExits(machine)
	if !record.Terminated {
		return
	}
	c.removeMachine(machine)
	anyBinding := func(job.Ref, *job.Binding) bool { return true }
	c.eachLedBinding(machine, anyBinding, func(j *job.Job, i int, _ *job.Binding) {
		c.log(Debug, "task is gone with its machine", "task", j.TaskID(i), "machine", machine)
		c.unbind(j, i)
	})
}

// expediteExits has the ends of tasks on a cordoned machine stored without delay: it can be
// returned only after that.
func (c *Core) expediteExits(machine string) {
	isOnMachine := func(exit job.Exit) bool { return exit.Machine == machine }
	for _, j := range c.jobs {
		if c.leads(j) && slices.ContainsFunc(j.Ended, isOnMachine) {
			j.Urgent = true
		}
	}
}
