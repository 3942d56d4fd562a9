package core

import (
	"slices"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// cancelRecord is the value of a cancellation's key. At is the time of day, in
// milliseconds, at which it was asked for: it hastens what a controller does that
// comes to know of it late, and decides nothing else.
type cancelRecord struct {
	RequestedAt int64 `json:"t,omitempty"`
}

// onCancelPut notes a cancellation that the watch tells of.
func (c *Core) onCancelPut(item protocol.KeyValue) error {
	var k cancelRecord
	if err := json.Unmarshal(item.Value, &k); err != nil {
		return err
	}
	id := strings.TrimPrefix(item.Key, keyCancel)
	c.cancelRequests[id] = k.RequestedAt
	c.noteCancellation(Cancellation{Job: id, Revision: item.Version, RequestedAt: k.RequestedAt})
	return nil
}

// markCancelled stops a job. Its bindings still end only on proof.
func (c *Core) markCancelled(j *job.Job) {
	if j == nil || j.Cancelled {
		return
	}
	j.Cancel()
	j.CancelledAt, j.CancelAsked = c.now.Steady, c.cancelRequests[j.ID]
	if w := c.announcements[j.ID]; w != nil {
		j.CancelledAt, j.CancelAsked = w.at, w.RequestedAt
	}
	if !j.InFlight {
		c.unbindUnstored(j)
	}
	c.stopCancelled(j)
	c.requestRound()
}

// cancelled tells whether a job is known to be cancelled.
func (c *Core) cancelled(id string) bool {
	j := c.jobs[id]
	return c.userCancelled(id) || j != nil && j.Cancelled || c.finalStates[id].State == protocol.Cancelled
}

// userCancelled tells whether a job is known to have been cancelled by its own user, and
// not only with another that it awaits.
func (c *Core) userCancelled(id string) bool {
	_, withdrawn := c.cancelRequests[id]
	return withdrawn || c.announcements[id] != nil
}

// stopCancelledJobs stops the cancelled jobs of a team that has its home elsewhere.
func (c *Core) stopCancelledJobs(t *team) {
	for _, j := range ordered(t.jobs) {
		if j.Cancelled {
			c.stopCancelled(j)
		}
	}
}

// stopCancelled halts what is left of a cancelled job: all of it at its home, and
// at every other controller what is on the machines that it hears. The home alone
// used to, by orders that are lost while controllers refuse each other's
// connections, and tasks ran on past the time allowed. Where stopping does not
// help the machine is given back.
func (c *Core) stopCancelled(j *job.Job) {
	home := c.leads(j)
	for i, b := range ordered(j.Bound) {
		if !b.Stored {
			continue
		}
		if home || c.agents.session(b.Machine) != nil {
			c.stopTask(j, i, b, 0)
		}
		if c.mayStillRun(j, i, b) {
			c.returnUnstoppedMachine(j, b.Machine)
		}
	}
}

// mayStillRun tells whether a task of a cancelled job may still be on its machine. It is not
// where that is proved, nor for as long as a controller that knows of the cancellation,
// and is heard, reports the machine without it: should a start still come, it is stopped.
func (c *Core) mayStillRun(j *job.Job, i int, b *job.Binding) bool {
	m, task := c.machines.Get(b.Machine), j.TaskID(i)
	switch {
	case c.cordons[b.Machine].Terminated || c.scheduler.returned[b.Machine]:
		return false
	case m == nil:
		return true
	}
	evidence, _ := m.Evidence(task, b)
	if evidence == worker.Inconclusive && c.announcements[j.ID] != nil {
		_, there := m.Find(task, b.Attempt)
		fresh := c.inDirectContact(m.Node) && c.now.Steady-m.LastContact < 2*c.reportInterval()
		return there || !fresh || c.isUnaware(j.ID, b.Machine)
	}
	return evidence == worker.Inconclusive || evidence == worker.Present
}

// returnUnstoppedMachine has a machine given back on which a task of a cancelled job does not end, by
// the renter or by a mark, or by this node itself while neither may help.
func (c *Core) returnUnstoppedMachine(j *job.Job, machine string) {
	unaware := c.isUnaware(j.ID, machine)
	part := c.cancelDeadline() / 2
	if unaware && !c.storeOK {
		// The cloud may be next, and nothing else is left. With the state service it is
		// too early: a controller that is cut off sends its workers on meanwhile, and the
		// build farm lost hundreds of machines that had been left by then.
		part = min(part, c.stalenessBound()*3/4)
	}
	// One that has just come to know goes by the time of day only for what is its own to
	// judge: a leader that was cut off and came back knew nothing newer of the machines,
	// and marked a hundred of them.
	here, mine := c.now.Steady-j.CancelledAt, c.isResponsibleFor(j, machine)
	if unaware && here > part || mine && c.cancellationOverdue(j, part) {
		c.requestReturn(machine, reasonTaskNotStopped)
	}
	if turn := part + c.releaseDelay(); c.fleetLeaderUnavailable() && (here > turn || mine && c.cancellationOverdue(j, turn)) {
		c.releaseWithoutLeader(machine)
	}
}

// reasonTaskNotStopped is why a machine with a cancelled task is given back.
const reasonTaskNotStopped = "cancelled task does not end"

// cancellationOverdue tells whether so much of the time that a cancellation may take has gone by here.
// Controllers that start over in the middle of it begin to count anew, so they go by the
// time of day of the cancellation too, once reports had time to come, or three quarters of
// it all are over.
func (c *Core) cancellationOverdue(j *job.Job, part time.Duration) bool {
	here := c.now.Steady - j.CancelledAt
	all := time.Duration(0)
	if j.CancelAsked > 0 {
		all = time.Duration(c.now.Wall-j.CancelAsked) * time.Millisecond
	}
	return here > part || all > part*3/2 && here > c.silenceLimit() || all > c.cancelDeadline()*3/4
}

// cancelDeadline is the time that a cancellation may take.
func (c *Core) cancelDeadline() time.Duration { return seconds(c.cfg.Params.Workers.CancelS) }

// isUnaware tells whether a machine's controller is not known to know of a cancellation, so
// that nobody may be stopping its tasks there.
func (c *Core) isUnaware(id, machine string) bool {
	m, w := c.machines.Get(machine), c.announcements[id]
	return w != nil && (m == nil || !c.hasAcknowledged(m.Node, w))
}

// isResponsibleFor tells whether it is for this node to have a machine given back for a
// task of a cancelled job: its controller sees what is left there. The home
// answers for machines whose controller it reaches too, or that nobody is known to
// hear. It leaves alone those of a live controller that it does not: they may
// have stopped long ago.
func (c *Core) isResponsibleFor(j *job.Job, machine string) bool {
	m := c.machines.Get(machine)
	if m == nil {
		return c.leads(j)
	}
	live := c.members.isLive(m.Node)
	return m.Node == c.cfg.Node && c.agents.session(machine) != nil || c.leads(j) && (c.hasContact(m.Node) || !live)
}

// fleetLeaderUnavailable tells whether there may be no renter, and a mark for the next one can't be
// stored: the state service does not answer, or the renter is gone. Then whoever knows
// of a cancellation gives machines back itself. To the others it is as if the cloud had
// taken them without notice; the renter finds that out from its list.
func (c *Core) fleetLeaderUnavailable() bool { return !c.storeOK || c.fleet.leader == "" }

// releaseDelay keeps controllers from all giving the same machine back at once: each waits
// for its turn, a sixteenth of the time allowed in all, and the cloud has few requests.
func (c *Core) releaseDelay() time.Duration {
	turn := c.members.position()
	return c.cancelDeadline() / 16 * time.Duration(turn) / time.Duration(c.members.size())
}

// releaseWithoutLeader gives a machine back without a renter.
func (c *Core) releaseWithoutLeader(machine string) {
	if at, ok := c.scheduler.released[machine]; ok && c.now.Steady-at < c.reportInterval() {
		return
	}
	c.scheduler.released[machine] = c.now.Steady
	c.log(Info, "machine is given back without a renter", "machine", machine, "why", reasonTaskNotStopped)
	c.scheduler.giveBack = append(c.scheduler.giveBack, machine)
}

// flushReleases asks the cloud to take the machines that this node gives back itself.
func (c *Core) flushReleases() {
	for names := range slices.Chunk(c.scheduler.giveBack, protocol.MaxRelease) {
		c.emit(ReleaseMachines{Machines: names})
	}
	c.scheduler.giveBack = nil
}

// requestReturn asks the renter to give a machine back with all that is on it. Where
// the renter can't be told, a mark in the store tells it of a cancelled task: a
// rule depends on that one, and any controller may write it, since a mark on a
// machine costs no more than the machine.
func (c *Core) requestReturn(machine, why string) {
	if at, ok := c.scheduler.returnRequested[machine]; ok && c.now.Steady-at < c.reportInterval() {
		return
	}
	c.scheduler.returnRequested[machine] = c.now.Steady
	switch _, marked := c.cordons[machine]; {
	case c.fleet.leader != "" && c.inDirectContact(c.fleet.leader):
		c.sendTo(c.fleet.leader, PeerMessage{ReturnRequest: &ReturnRequest{Machine: machine, Reason: why}})
	case why != reasonUnknownMachine && !marked:
		c.log(Info, "machine is marked to be given back", "machine", machine, "why", why)
		c.compareAndSwap(protocol.Txn{
			If:   []protocol.Condition{{Key: keyCordon + machine}},
			Then: []protocol.Change{putJSON(keyCordon+machine, cordonRecord{Reason: why})},
		}, true, func(StoreReply) {})
	}
}
