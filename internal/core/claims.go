package core

import (
	"cmp"
	"slices"
	"time"

	"pepperlever/internal/core/job"
)

// maxClaimsPerMessage bounds the size of one message.
const maxClaimsPerMessage = 256

// shareClaims tells the other controllers at once which room this step has taken. The store
// shows it to them only after a write and a watch, and until then they would bind the same
// room again and be refused.
func (c *Core) shareClaims() {
	for part := range slices.Chunk(c.scheduler.claims, maxClaimsPerMessage) {
		c.broadcast(PeerMessage{Claims: part})
	}
	c.scheduler.claims = nil
}

// handleClaim notes room that another leader is about to bind.
func (c *Core) handleClaim(claim Claim) {
	id, index, ok := job.ParseTaskID(claim.Task)
	if j := c.jobs[id]; ok && j != nil && !c.leads(j) {
		j.Claim(index, &job.Binding{Machine: claim.Machine, Attempt: claim.Attempt, Since: c.now.Steady})
		c.requestRound()
	}
}

// unstoredClaims counts the bindings that other leaders have announced and the store does not
// show.
func (c *Core) unstoredClaims() (claims int) {
	for _, j := range c.jobs {
		if !c.leads(j) {
			claims += j.UnstoredBindings()
		}
	}
	return claims
}

// claimWindow is how long a new binding waits for the claims of other leaders that chose the
// same room at the same moment.
func (c *Core) claimWindow() time.Duration { return c.reportInterval() / 60 }

// resolveConflict drops the new bindings of a job whose room another leader has claimed with
// precedence. Every leader sees the same claims and decides alike, so one of two keeps the
// room, and the other finds a new place without a refusal.
func (c *Core) resolveConflict(j *job.Job) {
	if j.Kind == job.Gang {
		return // placed whole or not at all
	}
	for index, b := range j.Bound {
		if !b.Stored && !c.claimHolds(j, index, b) {
			c.unbind(j, index)
		}
	}
}

// claimHolds tells whether a new binding fits on its machine beside all that takes precedence.
func (c *Core) claimHolds(j *job.Job, index int, b *job.Binding) bool {
	m := c.machines.Get(b.Machine)
	if m == nil {
		return true
	}
	free := c.catalog.Capacity(m.Type).Plus(c.machines.UsedResources(m), -1)
	if isWithinCapacity(free) {
		return true
	}
	claim := job.TaskRef{Job: j, Index: index}
	for ref, other := range c.machines.Load(b.Machine).Tasks {
		if !other.Stored && compareClaims(ref, claim) > 0 {
			free = free.Plus(ref.Job.Need, 1)
		}
	}
	return isWithinCapacity(free)
}

// isWithinCapacity tells whether no more is taken of a machine than it has, given what is
// free on it.
func isWithinCapacity(free job.Resources) bool { return job.Resources{}.Fits(free) }

// compareClaims orders claims on the same room, the one with precedence first.
func compareClaims(a, b job.TaskRef) int {
	return cmp.Or(
		cmp.Compare(a.Job.Rank(), b.Job.Rank()),
		cmp.Compare(a.Job.ID, b.Job.ID),
		cmp.Compare(a.Index, b.Index),
	)
}
