package core

import (
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

// cancelWritten notes a cancellation that the store tells of.
func (c *Core) cancelWritten(id string, value json.RawMessage) error {
	var k cancelMark
	if err := json.Unmarshal(value, &k); err != nil {
		return err
	}
	c.withdrawn[id] = k.At
	c.remember(id, protocol.JobState{ID: id, State: protocol.Cancelled})
	c.markCancelled(c.jobs[id])
	return nil
}

// markCancelled stops a job. Its bindings still end only on proof.
func (c *Core) markCancelled(j *job.Job) {
	if j == nil || j.Cancelled {
		return
	}
	j.Cancel()
	j.CancelledAt, j.CancelAsked = c.now.Steady, c.withdrawn[j.ID]
	for i, b := range ordered(j.Bound) {
		if !b.Stored && !j.InFlight {
			c.unbind(j, i)
		}
	}
	c.stopCancelled(j)
	c.sched.dirty = true
}

// cancelled tells whether a job is known to be cancelled.
func (c *Core) cancelled(id string) bool {
	j := c.jobs[id]
	return j != nil && j.Cancelled || c.finals[id].State == protocol.Cancelled
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
	home, late := c.mine(j), c.lateToStop(j)
	for i, b := range ordered(j.Bound) {
		if !b.Stored {
			continue
		}
		if home || c.own[b.Machine] != nil {
			c.stop(j, i, b, 0)
		}
		if late && c.answersFor(j, i, b) {
			c.condemn(b.Machine, "cancelled task does not end")
		}
	}
}

// lateToStop tells whether half of the time that a cancellation may take has gone
// by here, or three quarters of it in all: controllers that start over in the
// middle of it begin to count anew.
func (c *Core) lateToStop(j *job.Job) bool {
	allowed := seconds(c.cfg.Params.Workers.CancelS)
	return c.now.Steady-j.CancelledAt > allowed/2 ||
		j.CancelAsked > 0 && time.Duration(c.now.Wall-j.CancelAsked)*time.Millisecond > allowed*3/4
}

// answersFor tells whether it is for this node to have a machine given back for a
// task of a cancelled job: its controller sees what is left there. The home
// answers for machines whose controller it reaches too, or that nobody is known to
// hear. It leaves alone those of a live controller that it does not: they may
// have stopped long ago.
func (c *Core) answersFor(j *job.Job, i int, b *job.Binding) bool {
	m := c.machines[b.Machine]
	if m == nil {
		return c.mine(j)
	}
	if verdict, _ := m.Judge(j.TaskID(i), b); verdict == worker.Absent || verdict == worker.Ended {
		return false
	}
	_, live := c.nodes[m.Node]
	return m.Node == c.cfg.Node || c.mine(j) && (c.reaches(m.Node) || !live)
}

// condemn asks the renter to give a machine back with all that is on it. Where
// the renter can't be told, a mark in the store tells it of a cancelled task: a
// rule depends on that one, and any controller may write it, since a mark on a
// machine costs no more than the machine.
func (c *Core) condemn(machine, why string) {
	if at, ok := c.sched.condemned[machine]; ok && c.now.Steady-at < c.reportInterval() {
		return
	}
	c.sched.condemned[machine] = c.now.Steady
	switch _, marked := c.marks[machine]; {
	case c.fleet.home != "" && c.hears(c.fleet.home):
		c.tell(c.fleet.home, PeerMsg{Condemn: &Condemn{Machine: machine, Why: why}})
	case why != unheard && !marked:
		c.log(Info, "machine is marked to be given back", "machine", machine, "why", why)
		c.txn(protocol.Txn{
			If:   []protocol.Condition{{Key: keyMark + machine}},
			Then: []protocol.Change{put(keyMark+machine, mark{Why: why})},
		}, true, func(StoreReply) {})
	}
}
