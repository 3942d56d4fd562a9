package core

import (
	"cmp"
	"slices"
	"time"

	"pepperlever/internal/core/job"
)

// maxClaimsPerMessage bounds the size of one message.
const maxClaimsPerMessage = 256

// claimLifetime is for how many report intervals a claim holds that its leader has not announced
// again. It does so once an interval, and messages may be lost.
const claimLifetime = 3

// heldClaims tells which jobs of other leaders have claims here. A claim is void once its leader
// is another, and leased until then: the leader announces it again until it is stored, and one
// whose binding the leader has dropped expires.
type heldClaims struct {
	jobs map[string]bool
	// renewAt is when this node's own claims are announced again, and those of others judged.
	renewAt time.Duration
}

func newHeldClaims() heldClaims { return heldClaims{jobs: map[string]bool{}} }

// shareClaims tells the other controllers at once which room this step has taken. The store
// shows it to them only after a write and a watch, and until then they would bind the same
// room again and be refused.
func (c *Core) shareClaims() {
	for part := range slices.Chunk(c.scheduler.claims, maxClaimsPerMessage) {
		c.broadcast(PeerMessage{Claims: part})
	}
	c.scheduler.claims = nil
}

// handleClaim notes room that another leader is about to bind. A controller that does not lead
// the job's team, or no longer does, cannot bind anything.
func (c *Core) handleClaim(from string, claim Claim) {
	id, index, ok := job.ParseTaskID(claim.Task)
	j := c.jobs[id]
	if !ok || j == nil || c.leads(j) || c.teamBy[j.Team].leader != from {
		return
	}
	if j.Claim(index, &job.Binding{Machine: claim.Machine, Attempt: claim.Attempt, Since: c.now.Steady}) {
		c.scheduler.heldClaims.jobs[id] = true
		c.requestRound()
	}
}

// renewClaims announces the bindings again that wait to be stored, and forgets the claims of
// others that were not.
func (c *Core) renewClaims() {
	held := &c.scheduler.heldClaims
	if !c.every(&held.renewAt, c.reportInterval()) {
		return
	}
	for _, t := range c.teams {
		if t.leading {
			c.announceUnstored(t)
		}
	}
	for id := range ordered(held.jobs) {
		if !c.expireClaims(c.jobs[id]) {
			delete(held.jobs, id)
		}
	}
}

// announceUnstored announces the bindings of a led team that wait to be stored.
func (c *Core) announceUnstored(t *team) {
	for _, j := range ordered(t.jobs) {
		if !j.Dirty() && !j.InFlight {
			continue
		}
		for index, b := range ordered(j.Bound) {
			if !b.Stored {
				c.scheduler.claims = append(c.scheduler.claims, claimOf(j, index, b))
			}
		}
	}
}

// expireClaims forgets the claims on a job that have expired, and reports whether any is left.
func (c *Core) expireClaims(j *job.Job) (left bool) {
	if j == nil || c.leads(j) {
		return false
	}
	expired, left := j.ExpireClaims(c.now.Steady - claimLifetime*c.reportInterval())
	if expired {
		c.log(Debug, "claims expired", "job", j.ID)
		c.requestRound()
	}
	return left
}

// voidClaims forgets the claims of a shard's former leader: it can store nothing any more.
func (c *Core) voidClaims(s *shard) {
	for _, j := range ordered(c.jobsOf(s)) {
		if c.scheduler.heldClaims.jobs[j.ID] {
			j.DropUnstored()
			c.requestRound()
		}
	}
}

// claimOf is what other controllers are told of a new binding.
func claimOf(j *job.Job, index int, b *job.Binding) Claim {
	return Claim{Machine: b.Machine, Task: j.TaskID(index), Attempt: b.Attempt}
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
