package core

import (
	"slices"
	"time"

	"pepperlever/internal/core/job"
)

// cordonRecord is the stored record of a cordoned machine: it gets no new bindings. If Terminated is
// set, the machine and every task on it no longer run.
type cordonRecord struct {
	Terminated bool   `json:"g,omitempty"`
	Reason     string `json:"w,omitempty"`
	version    uint64
	since      time.Duration
}

// cordons holds the stored cordons by machine.
type cordons map[string]cordonRecord

// has reports whether a machine is cordoned.
func (c cordons) has(machine string) bool {
	_, cordoned := c[machine]
	return cordoned
}

// isTerminated reports whether the stored cordon of a machine marks it as terminated.
func (c cordons) isTerminated(machine string) bool { return c[machine].Terminated }

// put records a cordon, first seen now, and reports whether it is newer than the known one.
func (c cordons) put(machine string, cordon cordonRecord, now time.Duration) bool {
	if known, cordoned := c[machine]; cordoned && known.version >= cordon.version {
		return false
	}
	cordon.since = now
	c[machine] = cordon
	return true
}

// onCordonPut handles a stored cordon. If the machine is terminated, the machine is removed, and so is
// every binding on it of a job that this node leads.
func (c *Core) onCordonPut(machine string, record cordonRecord) {
	if !c.cordons.put(machine, record, c.now.Steady) {
		return
	}
	c.requestRound()
	c.expediteExits(machine)
	if !record.Terminated {
		return
	}
	c.removeMachine(machine)
	anyBinding := func(job.TaskRef, *job.Binding) bool { return true }
	c.reconciler.eachLedBinding(machine, anyBinding, func(j *job.Job, i int, _ *job.Binding) {
		c.log(Debug, "task lost with its machine", "task", j.TaskID(i), "machine", machine)
		c.unbind(j, i)
	})
}

// expediteExits marks the jobs with unstored exits on a cordoned machine as urgent, since the
// machine can be returned only once these exits are stored.
func (c *Core) expediteExits(machine string) {
	isOnMachine := func(exit job.Exit) bool { return exit.Machine == machine }
	for _, j := range c.jobs {
		if c.leads(j) && slices.ContainsFunc(j.UnstoredExits, isOnMachine) {
			j.Urgent = true
		}
	}
}
