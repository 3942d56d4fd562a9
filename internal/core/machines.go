package core

import (
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// addMachine notes a machine that has not been heard of before.
func (c *Core) addMachine(id string) *worker.Machine {
	c.longestName = max(c.longestName, len(id))
	m := &worker.Machine{IdleSince: c.now.Steady}
	c.machines[id] = m
	at, _ := slices.BinarySearch(c.machineNames, id)
	c.machineNames = slices.Insert(c.machineNames, at, id)
	c.requestRound()
	return m
}

// noteContact notes a sign of life of a machine: a report, or a reply to a direct call.
func (c *Core) noteContact(m *worker.Machine, direct bool) {
	m.Seen, c.zoneSeen[m.Zone] = c.now.Steady, c.now.Steady
	if !direct {
		m.Reported = c.now.Steady
	}
}

// removeMachine forgets a machine that is gone for good.
func (c *Core) removeMachine(id string) {
	delete(c.machines, id)
	delete(c.rebalancing.sent, id)
	if at, found := slices.BinarySearch(c.machineNames, id); found {
		c.machineNames = slices.Delete(c.machineNames, at, at+1)
	}
}

// hasBindings tells whether a machine has bindings of any team.
func (c *Core) hasBindings(id string) bool { return c.ledger.On(id) != nil }

// hasTasks tells whether a machine has a binding of a job for which is holds.
func (c *Core) hasTasks(machine string, is func(*job.Job) bool) bool {
	if on := c.ledger.On(machine); on != nil {
		for ref := range on.Tasks {
			if is(ref.Job) {
				return true
			}
		}
	}
	return false
}

// reportBytes is about how long the next report of a machine will be, with the
// tasks that are bound to it and that it does not report yet.
func (c *Core) reportBytes(m *worker.Machine) int {
	on := c.ledger.On(m.Machine)
	if on == nil {
		return m.Bytes
	}
	unseen := max(0, len(on.Tasks)-(len(m.Tasks)-m.Exits))
	return m.Bytes + unseen*protocol.TaskBytes("req-000000/00000")
}

// boundLoad is what is bound to a machine. A task that its worker reports as
// exited takes no room, even before its home has stored the end.
func (c *Core) boundLoad(m *worker.Machine) job.Resources {
	on := c.ledger.On(m.Machine)
	if on == nil {
		return job.Resources{}
	}
	if on.Fresh {
		return on.Taken
	}
	on.Taken, on.Fresh = on.Need, true
	if m.Exits == 0 {
		return on.Taken
	}
	for ref, b := range on.Tasks {
		if t, ok := m.Find(ref.Job.TaskID(ref.Index), b.Attempt); ok && t.State == protocol.Exited {
			on.Taken = on.Taken.Plus(ref.Job.Need, -1)
		}
	}
	return on.Taken
}
