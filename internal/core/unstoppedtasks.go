package core

import (
	"slices"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// reasonTaskNotStopped is why a machine with a cancelled task is returned.
const reasonTaskNotStopped = "cancelled task does not end"

// returnUnstopped has a machine returned on which a task of a cancelled job does not
// end: by the fleet's leader or by a cordon, or by this node itself while neither may help.
//
// A node that has just learned of a cancellation goes by its time of day only for the
// machines that it is responsible for: what it knows of the others may be old.
func (r *machineReturns) returnUnstopped(j *job.Job, machine string) {
	unaware := r.core.announcements.isUnaware(j.ID, machine)
	patience := r.times.cancelDeadline() / 2
	if unaware && !r.core.storeOK {
		// The cloud may fail next, and nothing else is left. While the store answers it is
		// too early: a controller that is cut off redirects its workers meanwhile.
		patience = min(patience, r.times.stalenessBound()*3/4)
	}
	known := r.now.Steady - j.CancelledAt
	responsible := r.isResponsibleFor(j, machine)
	if unaware && known > patience || responsible && r.isOverdue(j, patience) {
		r.request(machine, reasonTaskNotStopped)
	}
	if !r.fleetLeaderUnavailable() {
		return
	}
	patience += r.releaseDelay()
	if known > patience || responsible && r.isOverdue(j, patience) {
		r.releaseWithoutLeader(machine)
	}
}

// isOverdue tells whether a cancellation has taken longer than patience here.
// Controllers that have restarted begin to count anew, so they go by the time of day of
// the request too, once reports had time to come, or three quarters of the deadline
// are over.
func (r *machineReturns) isOverdue(j *job.Job, patience time.Duration) bool {
	known := r.now.Steady - j.CancelledAt
	total := time.Duration(0)
	if j.CancelRequestedAt > 0 {
		total = time.Duration(r.now.Wall-j.CancelRequestedAt) * time.Millisecond
	}
	return known > patience ||
		total > patience*3/2 && known > r.core.silenceLimit() ||
		total > r.times.cancelDeadline()*3/4
}

// isResponsibleFor tells whether it is for this node to have a machine returned for a task of
// a cancelled job: the machine's controller is, which sees what is left there. The
// leader is too for machines whose controller it is in contact with, or that no live
// controller serves. It leaves alone those of a live controller that it has no
// contact with: their tasks may have ended long ago.
func (r *machineReturns) isResponsibleFor(j *job.Job, machine string) bool {
	m := r.core.machines.Get(machine)
	if m == nil {
		return r.core.leads(j)
	}
	if m.Node == r.cfg.Node && r.core.agents.session(machine) != nil {
		return true
	}
	live := r.core.members.isLive(m.Node)
	return r.core.leads(j) && (r.core.reach.hasContact(m.Node) || !live)
}

// fleetLeaderUnavailable tells whether the fleet may have no leader, and a cordon for the
// next one can't be stored. Then whoever knows of a cancellation releases machines itself.
// To the others it is as if the cloud had taken them without notice; the fleet's
// leader finds that out from the inventory.
func (r *machineReturns) fleetLeaderUnavailable() bool {
	return !r.core.storeOK || r.core.fleet.leader == ""
}

// releaseDelay keeps controllers from all releasing the same machine at once: each waits for
// its own part of a sixteenth of the deadline, since the cloud takes few requests.
func (r *machineReturns) releaseDelay() time.Duration {
	position := r.core.members.position()
	return r.times.cancelDeadline() / 16 * time.Duration(position) / time.Duration(r.core.members.size())
}

// releaseWithoutLeader releases a machine without the fleet's leader.
func (r *machineReturns) releaseWithoutLeader(machine string) {
	if !repeatAfter(r.releasedAt, machine, r.now.Steady, r.reportInterval()) {
		return
	}
	r.log(Info, "machine released without the fleet leader", "machine", machine, "reason", reasonTaskNotStopped)
	r.pending = append(r.pending, machine)
}

// flush asks the cloud to take the machines that this node releases itself.
func (r *machineReturns) flush() {
	for machines := range slices.Chunk(r.pending, protocol.MaxRelease) {
		r.emit(ReleaseMachines{Machines: machines})
	}
	r.pending = nil
}

// request asks the fleet's leader to return a machine with all that is on it. Where the
// leader can't be reached, a cordon in the store tells it of a cancelled task. Any
// controller may write that, since it costs no more than the machine.
func (r *machineReturns) request(machine, reason string) {
	if !repeatAfter(r.requestedAt, machine, r.now.Steady, r.reportInterval()) {
		return
	}
	if r.core.fleet.leader != "" && r.core.reach.inDirectContact(r.core.fleet.leader) {
		r.core.sendTo(r.core.fleet.leader, PeerMessage{ReturnRequest: &ReturnRequest{Machine: machine, Reason: reason}})
		return
	}
	if r.core.cordons.has(machine) || reason == reasonUnknownMachine {
		return
	}
	r.log(Info, "machine cordoned to be returned", "machine", machine, "reason", reason)
	key := keyCordon + machine
	r.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{{Key: key}},
		Then: []protocol.Change{putJSON(key, cordonRecord{Reason: reason})},
	}, true, func(StoreReply) {})
}
