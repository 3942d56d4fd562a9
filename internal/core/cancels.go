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

// cancelMark is the value of a cancellation's key. At is the time of day, in
// milliseconds, at which it was asked for: it hastens what a controller does that
// comes to know of it late, and decides nothing else.
type cancelMark struct {
	At int64 `json:"t,omitempty"`
}

// cancelWritten notes a cancellation that the watch tells of.
func (c *Core) cancelWritten(item protocol.KeyValue) error {
	var k cancelMark
	if err := json.Unmarshal(item.Value, &k); err != nil {
		return err
	}
	id := strings.TrimPrefix(item.Key, keyCancel)
	c.withdrawn[id] = k.At
	c.cancelKnown(Cancellation{Job: id, Revision: item.Version, Asked: k.At})
	return nil
}

// markCancelled stops a job. Its bindings still end only on proof.
func (c *Core) markCancelled(j *job.Job) {
	if j == nil || j.Cancelled {
		return
	}
	j.Cancel()
	j.CancelledAt, j.CancelAsked = c.now.Steady, c.withdrawn[j.ID]
	if w := c.broadcasts[j.ID]; w != nil {
		j.CancelledAt, j.CancelAsked = w.at, w.Asked
	}
	if !j.InFlight {
		c.unbindUnstored(j)
	}
	c.stopCancelled(j)
	c.sched.dirty = true
}

// cancelled tells whether a job is known to be cancelled.
func (c *Core) cancelled(id string) bool {
	j := c.jobs[id]
	return c.userCancelled(id) || j != nil && j.Cancelled || c.finals[id].State == protocol.Cancelled
}

// userCancelled tells whether a job is known to have been cancelled by its own user, and
// not only with another that it awaits.
func (c *Core) userCancelled(id string) bool {
	_, withdrawn := c.withdrawn[id]
	return withdrawn || c.broadcasts[id] != nil
}

// stopForOthers stops the cancelled jobs of a team that has its home elsewhere.
func (c *Core) stopForOthers(t *team) {
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
	home := c.mine(j)
	for i, b := range ordered(j.Bound) {
		if !b.Stored {
			continue
		}
		if home || c.own[b.Machine] != nil {
			c.stop(j, i, b, 0)
		}
		if c.mayRunOn(j, i, b) {
			c.giveBack(j, b.Machine)
		}
	}
}

// mayRunOn tells whether a task of a cancelled job may still be on its machine. It is not
// where that is proved, nor for as long as a controller that knows of the cancellation,
// and is heard, reports the machine without it: should a start still come, it is stopped.
func (c *Core) mayRunOn(j *job.Job, i int, b *job.Binding) bool {
	m, task := c.machines[b.Machine], j.TaskID(i)
	switch {
	case c.marks[b.Machine].Gone || c.sched.returned[b.Machine]:
		return false
	case m == nil:
		return true
	}
	verdict, _ := m.Judge(task, b)
	if verdict == worker.Open && c.broadcasts[j.ID] != nil {
		_, there := m.Find(task, b.Attempt)
		fresh := c.hears(m.Node) && c.now.Steady-m.Seen < 2*c.reportInterval()
		return there || !fresh || c.unaware(j.ID, b.Machine)
	}
	return verdict == worker.Open || verdict == worker.Present
}

// giveBack has a machine given back on which a task of a cancelled job does not end, by
// the renter or by a mark, or by this node itself while neither may help.
func (c *Core) giveBack(j *job.Job, machine string) {
	unaware := c.unaware(j.ID, machine)
	part := c.allowed() / 2
	if unaware && !c.storeOK {
		// The cloud may be next, and nothing else is left. With the state service it is
		// too early: a controller that is cut off sends its workers on meanwhile, and the
		// build farm lost hundreds of machines that had been left by then.
		part = min(part, c.blindTime()*3/4)
	}
	// One that has just come to know goes by the time of day only for what is its own to
	// judge: a leader that was cut off and came back knew nothing newer of the machines,
	// and marked a hundred of them.
	here, mine := c.now.Steady-j.CancelledAt, c.answersFor(j, machine)
	if unaware && here > part || mine && c.late(j, part) {
		c.requestReturn(machine, unended)
	}
	if turn := part + c.turnToAct(); c.nobodyRents() && (here > turn || mine && c.late(j, turn)) {
		c.release(machine)
	}
}

// unended is why a machine with a cancelled task is given back.
const unended = "cancelled task does not end"

// late tells whether so much of the time that a cancellation may take has gone by here.
// Controllers that start over in the middle of it begin to count anew, so they go by the
// time of day of the cancellation too, once reports had time to come, or three quarters of
// it all are over.
func (c *Core) late(j *job.Job, part time.Duration) bool {
	here := c.now.Steady - j.CancelledAt
	all := time.Duration(0)
	if j.CancelAsked > 0 {
		all = time.Duration(c.now.Wall-j.CancelAsked) * time.Millisecond
	}
	return here > part || all > part*3/2 && here > c.silence() || all > c.allowed()*3/4
}

// allowed is the time that a cancellation may take.
func (c *Core) allowed() time.Duration { return seconds(c.cfg.Params.Workers.CancelS) }

// unaware tells whether a machine's controller is not known to know of a cancellation, so
// that nobody may be stopping its tasks there.
func (c *Core) unaware(id, machine string) bool {
	m, w := c.machines[machine], c.broadcasts[id]
	return w != nil && (m == nil || !c.knows(m.Node, w))
}

// answersFor tells whether it is for this node to have a machine given back for a
// task of a cancelled job: its controller sees what is left there. The home
// answers for machines whose controller it reaches too, or that nobody is known to
// hear. It leaves alone those of a live controller that it does not: they may
// have stopped long ago.
func (c *Core) answersFor(j *job.Job, machine string) bool {
	m := c.machines[machine]
	if m == nil {
		return c.mine(j)
	}
	_, live := c.nodes[m.Node]
	return m.Node == c.cfg.Node && c.own[machine] != nil || c.mine(j) && (c.reaches(m.Node) || !live)
}

// nobodyRents tells whether there may be no renter, and a mark for the next one can't be
// stored: the state service does not answer, or the renter is gone. Then whoever knows
// of a cancellation gives machines back itself. To the others it is as if the cloud had
// taken them without notice; the renter finds that out from its list.
func (c *Core) nobodyRents() bool { return !c.storeOK || c.fleet.home == "" }

// turnToAct keeps controllers from all giving the same machine back at once: each waits
// for its turn, a sixteenth of the time allowed in all, and the cloud has few requests.
func (c *Core) turnToAct() time.Duration {
	turn := slices.Index(c.roster, c.cfg.Node)
	return c.allowed() / 16 * time.Duration(turn) / time.Duration(len(c.roster))
}

// release gives a machine back without a renter.
func (c *Core) release(machine string) {
	if at, ok := c.sched.released[machine]; ok && c.now.Steady-at < c.reportInterval() {
		return
	}
	c.sched.released[machine] = c.now.Steady
	c.log(Info, "machine is given back without a renter", "machine", machine, "why", unended)
	c.sched.giveBack = append(c.sched.giveBack, machine)
}

// releaseAll asks the cloud to take the machines that this node gives back itself.
func (c *Core) releaseAll() {
	for names := range slices.Chunk(c.sched.giveBack, protocol.MaxRelease) {
		c.emit(Release{Machines: names})
	}
	c.sched.giveBack = nil
}

// requestReturn asks the renter to give a machine back with all that is on it. Where
// the renter can't be told, a mark in the store tells it of a cancelled task: a
// rule depends on that one, and any controller may write it, since a mark on a
// machine costs no more than the machine.
func (c *Core) requestReturn(machine, why string) {
	if at, ok := c.sched.returnRequested[machine]; ok && c.now.Steady-at < c.reportInterval() {
		return
	}
	c.sched.returnRequested[machine] = c.now.Steady
	switch _, marked := c.marks[machine]; {
	case c.fleet.home != "" && c.hears(c.fleet.home):
		c.tell(c.fleet.home, PeerMsg{ReturnRequest: &ReturnRequest{Machine: machine, Why: why}})
	case why != unheard && !marked:
		c.log(Info, "machine is marked to be given back", "machine", machine, "why", why)
		c.txn(protocol.Txn{
			If:   []protocol.Condition{{Key: keyMark + machine}},
			Then: []protocol.Change{put(keyMark+machine, mark{Why: why})},
		}, true, func(StoreReply) {})
	}
}
