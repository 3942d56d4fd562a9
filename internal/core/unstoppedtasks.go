package core

import (
	"slices"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// reasonTaskNotStopped is the reason for returning a machine on which a cancelled task does not
// end.
const reasonTaskNotStopped = "cancelled task does not end"

// returnUnstopped returns to the cloud a machine on which a task of a cancelled job does not end in
// time. It asks the fleet leader, directly or by a cordon, and releases the machine itself while
// the fleet may have no leader.
//
// The age of the user's request only counts for the machines that this node is responsible for:
// a controller that has just learned of the cancellation may have outdated information on the
// others.
func (r *machineReturns) returnUnstopped(j *job.Job, machine string) {
	unaware := r.core.announcements.controllerMayBeUnaware(j.ID, machine)
	timeout := r.times.cancelDeadline() / 2
	if unaware && !r.core.storeOK {
		// Returning the machine is the only option left, and the cloud may fail next. While
		// the store still replies, this would be too early: a controller that is partitioned
		// redirects its workers first.
		timeout = min(timeout, r.times.stalenessBound()*3/4)
	}
	sinceKnown := r.now.Steady - j.CancelledAt
	responsible := r.isResponsibleFor(j, machine)
	if unaware && sinceKnown > timeout || responsible && r.isOverdue(j, timeout) {
		r.request(machine, reasonTaskNotStopped)
	}
	if !r.fleetLeaderUnavailable() {
		return
	}
	timeout += r.releaseDelay()
	if sinceKnown > timeout || responsible && r.isOverdue(j, timeout) {
		r.releaseWithoutLeader(machine)
	}
}

// isOverdue reports whether a cancellation has taken longer than timeout since this node learned of
// the cancellation. A restart of this node resets that time. The wall-clock time since the user's
// request therefore counts too: the cancellation is also overdue once that exceeds timeout*3/2 and
// reports have had time to arrive here, or once it exceeds three quarters of the cancellation
// deadline.
func (r *machineReturns) isOverdue(j *job.Job, timeout time.Duration) bool {
	sinceKnown := r.now.Steady - j.CancelledAt
	sinceRequested := time.Duration(0)
	if j.CancelRequestedAtMS > 0 {
		sinceRequested = time.Duration(r.now.Wall-j.CancelRequestedAtMS) * time.Millisecond
	}
	return sinceKnown > timeout ||
		sinceRequested > timeout*3/2 && sinceKnown > r.core.silenceTimeout() ||
		sinceRequested > r.times.cancelDeadline()*3/4
}

// isResponsibleFor reports whether this node is responsible for returning a machine because of a
// task of a cancelled job. The controller that serves the machine is, since it sees which tasks
// remain there. The leader of the job is responsible too if heartbeats of that controller arrive at
// the leader, or if no live controller serves the machine. The leader does not act on the machines
// of a live controller whose heartbeats do not arrive: their tasks may have ended long ago.
func (r *machineReturns) isResponsibleFor(j *job.Job, machine string) bool {
	m := r.core.machines.Get(machine)
	if m == nil {
		return r.core.leads(j)
	}
	if m.Node == r.cfg.Node && r.core.agents.session(machine) != nil {
		return true
	}
	live := r.core.members.isLive(m.Node)
	return r.core.leads(j) && (r.core.peerReachability.hasContact(m.Node) || !live)
}

// fleetLeaderUnavailable reports whether the replica shows no fleet leader or the store does not
// reply to this node. Without the store the leader may have lost its leadership, and a cordon may not
// be stored. In both cases every controller that knows of a cancellation releases machines itself.
// To the other controllers this looks as if the cloud had reclaimed the machines without notice;
// the fleet leader detects it from the inventory.
func (r *machineReturns) fleetLeaderUnavailable() bool {
	return !r.core.storeOK || r.core.fleet.leader == ""
}

// releaseDelay staggers the controllers, so that they do not all release the same machine
// simultaneously: the cloud accepts few requests. The delays are spread over a sixteenth of the
// cancellation deadline.
func (r *machineReturns) releaseDelay() time.Duration {
	position := r.core.members.position()
	return r.times.cancelDeadline() / 16 * time.Duration(position) / time.Duration(r.core.members.size())
}

// releaseWithoutLeader queues the release of a machine without asking the fleet leader.
func (r *machineReturns) releaseWithoutLeader(machine string) {
	if !recordIfDue(r.releasedAt, machine, r.now.Steady, r.reportInterval()) {
		return
	}
	r.log(Info, "machine released without the fleet leader", "machine", machine, "reason", reasonTaskNotStopped)
	r.pendingReleases = append(r.pendingReleases, machine)
}

// flush asks the cloud to release the machines that are queued for it.
func (r *machineReturns) flush() {
	for machines := range slices.Chunk(r.pendingReleases, protocol.MaxRelease) {
		r.emit(ReleaseMachines{Machines: machines})
	}
	r.pendingReleases = nil
}

// request asks the fleet leader, at most once per report interval, to return a machine with
// everything that runs on it. If this node does not hear from the leader, it stores a cordon instead,
// unless the reason is reasonUnknownMachine. Any controller may write a cordon: the most that an
// unnecessary one can cost is the machine.
func (r *machineReturns) request(machine, reason string) {
	if !recordIfDue(r.requestedAt, machine, r.now.Steady, r.reportInterval()) {
		return
	}
	if r.core.fleet.leader != "" && r.core.peerReachability.receivesMessagesFrom(r.core.fleet.leader) {
		r.core.sendTo(r.core.fleet.leader, PeerMessage{ReturnRequest: &ReturnRequest{Machine: machine, Reason: reason}})
		return
	}
	if r.core.cordons.has(machine) || reason == reasonUnknownMachine {
		return
	}
	r.log(Info, "machine cordoned for return to the cloud", "machine", machine, "reason", reason)
	key := keyCordon + machine
	r.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{{Key: key}},
		Then: []protocol.Change{putJSON(key, cordonRecord{Reason: reason})},
	}, true, func(StoreReply) {})
}
