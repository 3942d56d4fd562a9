package core

import (
	"cmp"
	"slices"
	"time"

	"pepperlever/internal/core/job"
)

// shareClaims tells the other controllers at once which room this step has
// taken. The store shows it to them only after a write and a watch, and until
// then they would bind the same room again and be refused.
func (c *Core) shareClaims() {
	for part := range slices.Chunk(c.claims, claimsPerMsg) {
		c.broadcast(PeerMessage{Claims: part})
	}
	c.claims = nil
}

// claimsPerMsg bounds the size of one message.
const claimsPerMsg = 256

// claimed notes room that another home is about to bind.
func (c *Core) claimed(k Claim) {
	id, i, ok := job.SplitTask(k.Task)
	if j := c.jobs[id]; ok && j != nil && !c.leads(j) {
		j.Claim(i, &job.Binding{Machine: k.Machine, Attempt: k.Attempt, Since: c.now.Steady})
		c.requestRound()
	}
}

// claimTime is how long a new binding waits for the claims of other homes that
// chose the same room at the same moment.
func (c *Core) claimTime() time.Duration { return c.reportInterval() / 60 }

// resolveConflict drops the new bindings of a job whose room another home has claimed
// with better right. Every home sees the same claims and decides alike, so one
// of two keeps the room, and the other finds a new place without a refusal.
func (c *Core) resolveConflict(j *job.Job) {
	if j.Kind == job.Gang {
		return // placed whole or not at all
	}
	for i, b := range j.Bound {
		if !b.Stored && !c.claimHolds(j, i, b) {
			c.unbind(j, i)
		}
	}
}

// claimHolds tells whether a new binding fits on its machine after all that has a
// better right to the room.
func (c *Core) claimHolds(j *job.Job, i int, b *job.Binding) bool {
	m := c.machines.Get(b.Machine)
	if m == nil {
		return true
	}
	room := c.catalog.Capacity(m.Type).Plus(c.machines.UsedResources(m), -1)
	if (job.Resources{}).Fits(room) {
		return true
	}
	for ref, other := range c.machines.Load(b.Machine).Tasks {
		if !other.Stored && right(ref, job.Ref{Job: j, Index: i}) > 0 {
			room = room.Plus(ref.Job.Need, 1)
		}
	}
	return (job.Resources{}).Fits(room)
}

// right orders claims on the same room, the better one first.
func right(a, b job.Ref) int {
	return cmp.Or(cmp.Compare(a.Job.Rank(), b.Job.Rank()), cmp.Compare(a.Job.ID, b.Job.ID), cmp.Compare(a.Index, b.Index))
}
