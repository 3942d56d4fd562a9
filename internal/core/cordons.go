package core

import (
	"slices"
	"time"

	"pepperlever/internal/core/job"
)

// cordonRecord is the stored value of a machine that takes no new bindings. Terminated is proof
// that the machine and all that was on it are gone.
type cordonRecord struct {
	Terminated bool   `json:"g,omitempty"`
	Reason     string `json:"w,omitempty"`
	version    uint64
	since      time.Duration
}

// cordons holds the stored cordons by machine.
type cordons map[string]cordonRecord

// has tells whether a machine is cordoned.
func (c cordons) has(machine string) bool {
	_, cordoned := c[machine]
	return cordoned
}

// isTerminated tells whether a machine is proved to be gone.
func (c cordons) isTerminated(machine string) bool { return c[machine].Terminated }

// put takes a cordon that is known since now, and reports whether it is newer than the known one.
func (c cordons) put(machine string, cordon cordonRecord, now time.Duration) bool {
	if known, cordoned := c[machine]; cordoned && known.version >= cordon.version {
		return false
	}
	cordon.since = now
	c[machine] = cordon
	return true
}

// onCordonPut notes that a machine takes no bindings. If it is gone for good, that ends every
// binding on it.
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
		c.log(Debug, "task is gone with its machine", "task", j.TaskID(i), "machine", machine)
		c.unbind(j, i)
	})
}

// expediteExits has the ends of tasks on a cordoned machine stored without delay: it can be
// returned only after that.
func (c *Core) expediteExits(machine string) {
	isOnMachine := func(exit job.Exit) bool { return exit.Machine == machine }
	for _, j := range c.jobs {
		if c.leads(j) && slices.ContainsFunc(j.UnstoredExits, isOnMachine) {
			j.Urgent = true
		}
	}
}
