package core

import (
	"cmp"
	"slices"
	"time"

	"pepperlever/internal/core/job"
)

// maxClaimsPerMessage bounds the size of one message.
const maxClaimsPerMessage = 256

// claimLifetimeIntervals is the number of report intervals after which a claim expires unless its
// leader renews it. Leaders renew claims once per interval, and messages may be lost.
const claimLifetimeIntervals = 3

// heldClaims tracks the jobs for which this node holds claims of other leaders. A claim is an
// announced binding that is not stored yet. The leader renews the claim until the binding is stored.
// The claim expires if the leader drops the binding, and is dropped once the job has another leader.
type heldClaims struct {
	jobs map[string]bool
	// nextRenewal is the time at which this node next renews its own claims and checks those of
	// others for expiry.
	nextRenewal time.Duration
}

func newHeldClaims() heldClaims { return heldClaims{jobs: map[string]bool{}} }

// broadcastClaims immediately announces the capacity claimed in this step to the other controllers.
// They would otherwise learn of it only after a write to the store and a watch event. Until then they
// might bind tasks to the same capacity, and the starts of these tasks would be rejected.
func (c *Core) broadcastClaims() {
	for part := range slices.Chunk(c.scheduler.claims, maxClaimsPerMessage) {
		c.broadcast(PeerMessage{Claims: part})
	}
	c.scheduler.claims = nil
}

// handleClaim records capacity that another leader is about to bind. Claims from a controller
// that does not lead the job's team are ignored, since it cannot store a binding.
func (c *Core) handleClaim(from string, claim Claim) {
	id, index, ok := job.ParseTaskID(claim.Task)
	j := c.jobs[id]
	if !ok || j == nil || c.leads(j) || c.teamsByName[j.Team].leader != from {
		return
	}
	if j.Claim(index, &job.Binding{Machine: claim.Machine, Attempt: claim.Attempt, Since: c.now.Steady}) {
		c.scheduler.heldClaims.jobs[id] = true
		c.requestRound()
	}
}

// renewClaims announces this node's unstored bindings again, and drops expired claims of other
// leaders.
func (c *Core) renewClaims() {
	held := &c.scheduler.heldClaims
	if !c.every(&held.nextRenewal, c.reportInterval()) {
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

// announceUnstored announces the unstored bindings of a team that this node leads.
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

// expireClaims drops the expired claims on a job, and reports whether any claim is left.
func (c *Core) expireClaims(j *job.Job) (left bool) {
	if j == nil || c.leads(j) {
		return false
	}
	expired, left := j.ExpireClaims(c.now.Steady - claimLifetimeIntervals*c.reportInterval())
	if expired {
		c.log(Debug, "claims expired", "job", j.ID)
		c.requestRound()
	}
	return left
}

// dropClaimsOfFormerLeader drops the claims of a shard's former leader, which can no longer store
// them.
func (c *Core) dropClaimsOfFormerLeader(s *shard) {
	for _, j := range ordered(c.shardJobs(s)) {
		if c.scheduler.heldClaims.jobs[j.ID] {
			j.DropUnstored()
			c.requestRound()
		}
	}
}

// claimOf returns the claim that announces a new binding to other controllers.
func claimOf(j *job.Job, index int, b *job.Binding) Claim {
	return Claim{Machine: b.Machine, Task: j.TaskID(index), Attempt: b.Attempt}
}

// countUnstoredClaims counts the bindings that other leaders have announced but that are not yet
// stored, as far as this node knows.
func (c *Core) countUnstoredClaims() (claims int) {
	for _, j := range c.jobs {
		if !c.leads(j) {
			claims += j.UnstoredBindings()
		}
	}
	return claims
}

// claimSettleTime is how long a leader waits before it stores a new binding, so that concurrent claims
// of other leaders on the same capacity can arrive.
func (c *Core) claimSettleTime() time.Duration { return c.reportInterval() / 60 }

// dropConflictingClaims drops the new bindings of a job that do not fit on their machines next to
// claims with precedence. Every leader sees the same claims and decides the same way, so one of two
// conflicting claims is kept, and the leader that made the other one picks another host before any
// start is rejected. Gangs keep their bindings.
func (c *Core) dropConflictingClaims(j *job.Job) {
	if j.Kind == job.Gang {
		return // all or nothing: a gang must not lose single bindings
	}
	for index, b := range j.Bound {
		if !b.Stored && !c.claimHolds(j, index, b) {
			c.unbind(j, index)
		}
	}
}

// claimHolds reports whether a new binding fits on its machine next to the stored bindings and the
// claims that take precedence over it.
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

// isWithinCapacity reports whether a machine is not overcommitted, given its free resources,
// which are negative where it is.
func isWithinCapacity(free job.Resources) bool { return job.Resources{}.Fits(free) }

// compareClaims orders claims on the same capacity, the one with precedence first.
func compareClaims(a, b job.TaskRef) int {
	return cmp.Or(
		cmp.Compare(a.Job.Rank(), b.Job.Rank()),
		cmp.Compare(a.Job.ID, b.Job.ID),
		cmp.Compare(a.Index, b.Index),
	)
}
