package core

import (
	"slices"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// reasonTaskNotStopped is why a machine with a cancelled task is returned.
const reasonTaskNotStopped = "cancelled task does not end"

// returnUnstoppedMachine has a machine returned on which a task of a cancelled job does not
// end: by the fleet's leader or by a cordon, or by this node itself while neither may help.
//
// A node that has just learned of a cancellation goes by its time of day only for the
// machines that it is responsible for: what it knows of the others may be old.
func (c *Core) returnUnstoppedMachine(j *job.Job, machine string) {
	unaware := c.isUnaware(j.ID, machine)
	patience := c.times.cancelDeadline() / 2
	if unaware && !c.storeOK {
		// The cloud may fail next, and nothing else is left. While the store answers it is
		// too early: a controller that is cut off redirects its workers meanwhile.
		patience = min(patience, c.times.stalenessBound()*3/4)
	}
	known := c.now.Steady - j.CancelledAt
	responsible := c.isResponsibleFor(j, machine)
	if unaware && known > patience || responsible && c.cancellationOverdue(j, patience) {
		c.requestReturn(machine, reasonTaskNotStopped)
	}
	if !c.fleetLeaderUnavailable() {
		return
	}
	patience += c.releaseDelay()
	if known > patience || responsible && c.cancellationOverdue(j, patience) {
		c.releaseWithoutLeader(machine)
	}
}

// cancellationOverdue tells whether a cancellation has taken longer than patience here.
// Controllers that have restarted begin to count anew, so they go by the time of day of
// the request too, once reports had time to come, or three quarters of the deadline
// are over.
func (c *Core) cancellationOverdue(j *job.Job, patience time.Duration) bool {
	known := c.now.Steady - j.CancelledAt
	total := time.Duration(0)
	if j.CancelRequestedAt > 0 {
		total = time.Duration(c.now.Wall-j.CancelRequestedAt) * time.Millisecond
	}
	return known > patience ||
		total > patience*3/2 && known > c.silenceLimit() ||
		total > c.times.cancelDeadline()*3/4
}

// isResponsibleFor tells whether it is for this node to have a machine returned for a task of
// a cancelled job: the machine's controller is, which sees what is left there. The
// leader is too for machines whose controller it is in contact with, or that no live
// controller serves. It leaves alone those of a live controller that it has no
// contact with: their tasks may have ended long ago.
func (c *Core) isResponsibleFor(j *job.Job, machine string) bool {
	m := c.machines.Get(machine)
	if m == nil {
		return c.leads(j)
	}
	if m.Node == c.cfg.Node && c.agents.session(machine) != nil {
		return true
	}
	live := c.members.isLive(m.Node)
	return c.leads(j) && (c.reach.hasContact(m.Node) || !live)
}

// fleetLeaderUnavailable tells whether the fleet may have no leader, and a cordon for the
// next one can't be stored. Then whoever knows of a cancellation releases machines itself.
// To the others it is as if the cloud had taken them without notice; the fleet's
// leader finds that out from the inventory.
func (c *Core) fleetLeaderUnavailable() bool { return !c.storeOK || c.fleet.leader == "" }

// releaseDelay keeps controllers from all releasing the same machine at once: each waits for
// its own part of a sixteenth of the deadline, since the cloud takes few requests.
func (c *Core) releaseDelay() time.Duration {
	position := c.members.position()
	return c.times.cancelDeadline() / 16 * time.Duration(position) / time.Duration(c.members.size())
}

// releaseWithoutLeader releases a machine without the fleet's leader.
func (c *Core) releaseWithoutLeader(machine string) {
	if c.returns.release(machine, c.now.Steady, c.reportInterval()) {
		c.log(Info, "machine released without the fleet leader", "machine", machine, "reason", reasonTaskNotStopped)
	}
}

// flushReleases asks the cloud to take the machines that this node releases itself.
func (c *Core) flushReleases() {
	for machines := range slices.Chunk(c.returns.takePending(), protocol.MaxRelease) {
		c.emit(ReleaseMachines{Machines: machines})
	}
}

// requestReturn asks the fleet's leader to return a machine with all that is on it. Where the
// leader can't be reached, a cordon in the store tells it of a cancelled task. Any
// controller may write that, since it costs no more than the machine.
func (c *Core) requestReturn(machine, reason string) {
	if !c.returns.request(machine, c.now.Steady, c.reportInterval()) {
		return
	}
	if c.fleet.leader != "" && c.reach.inDirectContact(c.fleet.leader) {
		c.sendTo(c.fleet.leader, PeerMessage{ReturnRequest: &ReturnRequest{Machine: machine, Reason: reason}})
		return
	}
	if c.cordons.has(machine) || reason == reasonUnknownMachine {
		return
	}
	c.log(Info, "machine cordoned to be returned", "machine", machine, "reason", reason)
	key := keyCordon + machine
	c.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{{Key: key}},
		Then: []protocol.Change{putJSON(key, cordonRecord{Reason: reason})},
	}, true, func(StoreReply) {})
}
