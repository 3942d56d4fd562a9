package core

import (
	"slices"

	"pepperlever/internal/core/job"
)

// onCordonPut notes that a machine takes no bindings; if it is gone for good, that
// ends every binding on it.
func (c *Core) onCordonPut(machine string, k cordonRecord) {
	if old, ok := c.cordons[machine]; ok && old.version >= k.version {
		return
	}
	k.since = c.now.Steady
	c.cordons[machine] = k
	c.requestRound()
	c.expediteExits(machine)
	if !k.Terminated {
		return
	}
	c.removeMachine(machine)
	all := func(job.Ref, *job.Binding) bool { return true }
	c.eachLedBinding(machine, all, func(j *job.Job, i int, _ *job.Binding) {
		c.log(Debug, "task is gone with its machine", "task", j.TaskID(i), "machine", machine)
		c.unbind(j, i)
	})
}

// expediteExits has the ends of tasks on a closing machine stored without delay: it
// can be returned only after that.
func (c *Core) expediteExits(machine string) {
	onMachine := func(e job.Exit) bool { return e.Machine == machine }
	for _, j := range c.jobs {
		if c.leads(j) && slices.ContainsFunc(j.Ended, onMachine) {
			j.Urgent = true
		}
	}
}
