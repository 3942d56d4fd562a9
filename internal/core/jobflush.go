package core

import (
	"cmp"
	"slices"
	"time"

	"pepperlever/internal/core/job"
)

// flushJobs stores what has changed of the jobs of the teams that this node leads, what users
// wait for first, as far as the write budget goes. The longer a job waits the more of its
// changes share one write.
func (c *Core) flushJobs() {
	budget := &c.writeBudget
	if c.now.Steady < budget.pausedUntil {
		return
	}
	budget.refill(c.now.Steady, c.jobWriteRate())
	due := c.dueJobs()
	if budget.exhausted() {
		return
	}
	slices.SortFunc(due, compareWrites)
	for n, j := range due {
		if budget.exhausted() {
			c.warnBudgetExhausted(due[n:])
			return
		}
		c.resolveConflict(j)
		c.flushJob(c.teamBy[j.Team], j)
	}
}

// compareWrites orders jobs by who is to be stored first.
func compareWrites(a, b *job.Job) int {
	return cmp.Or(
		cmp.Compare(writeRank(a), writeRank(b)),
		cmp.Compare(a.StoredAt, b.StoredAt),
		cmp.Compare(a.ID, b.ID),
	)
}

// dueJobs lists the jobs whose changes are to be stored now, and counts the changes.
func (c *Core) dueJobs() []*job.Job {
	var due []*job.Job
	var changes changesByRank
	for _, t := range c.teams {
		if !t.leading {
			continue
		}
		for _, j := range t.jobs {
			if !j.Dirty() || !c.flushDue(j) {
				continue
			}
			changes[writeRank(j)] += headChanges + j.DirtyChunks()
			if !j.InFlight {
				due = append(due, j)
			}
		}
	}
	c.writeBudget.due = changes
	return due
}

// warnBudgetExhausted tells the operator now and then that starts wait for the store's write
// rate and not for capacity.
func (c *Core) warnBudgetExhausted(waiting []*job.Job) {
	if waiting[0].Urgent && c.every(&c.writeBudget.nextWarning, 10*c.reportInterval()) {
		c.log(Info, "store write budget exhausted", "pending_jobs", len(waiting), "changes_per_second", c.writeBudget.rate)
	}
}

// gatherTime is how long the finished tasks of a job gather before they are stored: the more
// jobs there are the longer.
func (c *Core) gatherTime() time.Duration {
	return seconds(float64(len(c.jobs)) / (c.limits.writeRate() * jobsShare * endsShare))
}

// flushDue tells whether a job's changes are to be stored now. Finished tasks gather for a
// while: until they are stored their workers keep reporting them, so a crash loses nothing.
func (c *Core) flushDue(j *job.Job) bool {
	if j.Complete() || j.Cancelled {
		return true
	}
	if j.Urgent {
		return c.now.Steady >= max(j.StoredAt+c.reportInterval()/30, j.ClaimedAt+c.claimWindow())
	}
	wait := max(c.reportInterval(), c.gatherTime())
	if c.writeBudget.low() {
		wait *= 3
	}
	return c.now.Steady >= j.StoredAt+wait
}
