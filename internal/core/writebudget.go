package core

import (
	"cmp"
	"slices"
	"time"

	"pepperlever/internal/core/job"
)

// writeBudget spreads the changes that the state service takes over what has to be
// stored. Submissions, terms and machines need theirs at once, so jobs that run
// already share a part of the limit. What is the most urgent anywhere goes first,
// each home in proportion to what it has of that: an array of thousands is one
// job, and a swarm of small jobs of one team must not hold up the urgent work of
// the others.
type writeBudget struct {
	rate, level float64
	at          time.Duration
	// due is how many changes wait to be stored, by rank.
	due ranks
}

// ranks counts changes by the rank of their jobs, see flushRank.
type ranks [rankRest + 1]int

// jobsPart is the part of the state service's limit on changes that goes to
// storing starts and ends.
const jobsPart = 0.6

// savings is for how many seconds a home may save changes up. Half of that is
// left to starts; what can wait does not touch it.
const savings = 3

// refill adds what has come in since the last time.
func (c *Core) refill() {
	b := &c.writeBudget
	part := c.part()
	b.rate = part
	b.level = min(b.level+b.rate*(c.now.Steady-b.at).Seconds(), max(savings*b.rate, 1))
	b.at = c.now.Steady
}

// part is this home's part of the changes a second. All that waits somewhere
// should be stored within a second, rank by rank as far as the changes go; what
// is left over is for all homes alike, so that each can store a start at once.
func (c *Core) part() float64 {
	left := c.limits.writeRate() * jobsPart
	homes := float64(len(c.roster))
	least := left / 4 / homes
	all := c.writeBudget.due
	for node, p := range c.peers {
		if c.hasContact(node) {
			for r, n := range p.pendingWrites {
				all[r] += n
			}
		}
	}
	mine := 0.0
	for r, n := range all {
		if n > 0 {
			want := min(left, float64(n))
			mine += want * float64(c.writeBudget.due[r]) / float64(n)
			left -= want
		}
	}
	return max(mine+left/homes, least)
}

// flushJobs stores what has changed of the jobs that this node is home of, what
// users wait for first, as far as the budget goes. The longer a job waits the
// more of its changes share one write.
func (c *Core) flushJobs() {
	if c.now.Steady < c.scheduler.storeAfter {
		return
	}
	c.refill()
	due := c.due()
	if c.writeBudget.level <= 0 {
		return
	}
	slices.SortFunc(due, func(a, b *job.Job) int {
		return cmp.Or(cmp.Compare(flushRank(a), flushRank(b)), cmp.Compare(a.StoredAt, b.StoredAt), cmp.Compare(a.ID, b.ID))
	})
	for n, j := range due {
		if c.writeBudget.level <= 0 {
			c.usedUp(due[n:])
			return
		}
		c.resolveConflict(j)
		c.flush(c.teamBy[j.Team], j)
	}
}

// due lists the jobs whose changes are to be stored now, and counts them.
func (c *Core) due() []*job.Job {
	var due []*job.Job
	c.writeBudget.due = ranks{}
	for _, t := range c.teams {
		if !t.leading {
			continue
		}
		for _, j := range t.jobs {
			if j.Dirty() && c.flushDue(j) {
				c.writeBudget.due[flushRank(j)] += 1 + j.DirtyChunks()
				if !j.InFlight {
					due = append(due, j)
				}
			}
		}
	}
	return due
}

// usedUp tells the operator once in a while that starts wait for the state
// service's changes and not for room.
func (c *Core) usedUp(waiting []*job.Job) {
	if waiting[0].Urgent && c.every(&c.timers.short, 10*c.reportInterval()) {
		c.log(Info, "state service's changes are used up", "jobs waiting", len(waiting), "a second", c.writeBudget.rate)
	}
}

// flushRank orders what waits to be stored: ends that users are told of, then
// starts by priority, then the rest. Work of the lowest priority waits for all
// other starts, its ends too. Nobody waits for the stored end of a job that was cancelled
// before it could begin: a cascade of hundreds would hold up all starts for a minute.
func flushRank(j *job.Job) int {
	if j.Cancelled && j.Awaiting {
		return rankRest
	}
	switch ends := j.Complete() || j.Cancelled; {
	case ends && !lowest(j):
		return 0
	case ends || j.Urgent:
		return 1 + j.Rank()
	}
	return rankRest
}

// rankRest is the rank of what nobody waits for.
const rankRest = 5

// endsPart is the part of the jobs' changes that goes to finished tasks of jobs
// that go on.
const endsPart = 1.0 / 3

// gatherTime is how long the finished tasks of a job gather: the more jobs there
// are the longer.
func (c *Core) gatherTime() time.Duration {
	return seconds(float64(len(c.jobs)) / (c.limits.writeRate() * jobsPart * endsPart))
}

// flushDue lets a job's finished tasks gather for a while. Until they are
// stored their workers keep reporting them, so a crash loses nothing.
func (c *Core) flushDue(j *job.Job) bool {
	if j.Complete() || j.Cancelled {
		return true
	}
	if j.Urgent {
		return c.now.Steady >= max(j.StoredAt+c.reportInterval()/30, j.ClaimedAt+c.claimTime())
	}
	wait := max(c.reportInterval(), c.gatherTime())
	if c.writeBudget.level < savings*c.writeBudget.rate/2 {
		wait *= 3
	}
	return c.now.Steady >= j.StoredAt+wait
}
