package core

import (
	"time"

	"pepperlever/internal/core/job"
)

// writeBudget rations this controller's writes of jobs. Submissions, fencing tokens and machines
// are written at once, so the controllers share a part of the store's write rate for jobs that
// run. What is the most urgent anywhere goes first, each controller in proportion to what it has
// of that: a swarm of small jobs of one team must not hold up the urgent work of the others.
type writeBudget struct {
	// rate is this controller's share in changes a second, level how many changes are saved up.
	rate, level float64
	refilledAt  time.Duration
	// due is how many changes wait to be stored.
	due changesByRank
	// pausedUntil holds writes back after the store has refused one.
	pausedUntil time.Duration
	// nextWarning is when the operator may be told again that the budget is exhausted.
	nextWarning time.Duration
}

// changesByRank counts changes by the write rank of their jobs, see writeRank.
type changesByRank [rankRest + 1]int

// Write ranks. Starts are ranked by priority from rankStarts on.
const (
	// rankEnds is the rank of ends that users are told of.
	rankEnds = iota
	rankStarts
	// rankRest is the rank of what nobody waits for.
	rankRest = 5
)

// Shares of the store's write rate.
const (
	// jobsShare is the part that goes to storing starts and ends.
	jobsShare = 0.6
	// endsShare is the part of that for finished tasks of jobs that go on.
	endsShare = 1.0 / 3
	// minimumShare is the part of a controller's equal share that it has in any case.
	minimumShare = 1.0 / 4
)

// savingsSeconds is for how many seconds a controller may save changes up. Half of the savings
// are reserved for starts.
const savingsSeconds = 3

// refill adds what has come in since the last time, at a rate in changes a second.
func (b *writeBudget) refill(now time.Duration, rate float64) {
	b.rate = rate
	b.level = min(b.level+b.rate*(now-b.refilledAt).Seconds(), max(savingsSeconds*b.rate, 1))
	b.refilledAt = now
}

// exhausted tells whether nothing may be written now.
func (b *writeBudget) exhausted() bool { return b.level <= 0 }

// low tells whether what is left is reserved for starts.
func (b *writeBudget) low() bool { return b.level < savingsSeconds*b.rate/2 }

// spend takes changes out of the budget.
func (b *writeBudget) spend(changes int) { b.level -= float64(changes) }

// share is a controller's part of a write rate in changes a second. All that is due anywhere
// should be stored within a second, rank by rank as far as the rate goes; what is left over is
// divided equally, so that each controller can store a start at once.
func (due *changesByRank) share(all changesByRank, rate float64, controllers int) float64 {
	left := rate
	least := left * minimumShare / float64(controllers)
	share := 0.0
	for rank, changes := range all {
		if changes > 0 {
			want := min(left, float64(changes))
			share += want * float64(due[rank]) / float64(changes)
			left -= want
		}
	}
	return max(share+left/float64(controllers), least)
}

// writeRank orders what waits to be stored: ends that users are told of, then starts by
// priority, then the rest. Work of the lowest priority waits for all other starts, its ends too.
// Nobody waits for the stored end of a job that was cancelled before it could begin: a cascade
// of hundreds would hold up all starts.
func writeRank(j *job.Job) int {
	if j.Cancelled && j.Blocked {
		return rankRest
	}
	ends := j.Complete() || j.Cancelled
	switch {
	case ends && !isBestEffort(j):
		return rankEnds
	case ends || j.Urgent:
		return rankStarts + j.Rank()
	}
	return rankRest
}
