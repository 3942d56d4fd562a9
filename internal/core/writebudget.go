package core

import (
	"time"

	"pepperlever/internal/core/job"
)

// writeBudget is a token bucket that limits the rate of this controller's job writes. Submissions,
// fencing tokens, cordons and rental intents are written without regard to it. The controllers
// divide a fixed part of the store's write rate among them for changes of accepted jobs. The most
// urgent changes of all controllers come first, and each controller gets a share in proportion to
// how many of those it has, so that many small jobs of one team don't delay the urgent work of other
// teams.
type writeBudget struct {
	// rate is this controller's share in changes per second. available is the number of changes
	// that may be written now.
	rate, available float64
	refilledAt      time.Duration
	// due counts the changes that wait to be stored.
	due changesByRank
	// pausedUntil is when writes may resume after the store has refused one.
	pausedUntil time.Duration
	// nextWarning is when an exhausted budget may be logged again.
	nextWarning time.Duration
}

// changesByRank counts changes by the write rank of their job; see writeRank.
type changesByRank [rankBackground + 1]int

// Write ranks, the most urgent first. Starts have one rank for each priority, beginning with
// rankStarts.
const (
	// rankJobEnds is the rank of ended jobs, whose final state users wait for.
	rankJobEnds = iota
	rankStarts
	// rankBackground is the rank of changes that nobody waits for.
	rankBackground = 5
)

// Fractions of the store's write rate.
const (
	// jobWriteShare is the fraction of the write rate for changes of accepted jobs.
	jobWriteShare = 0.6
	// finishedTaskShare is the fraction of jobWriteShare for exited tasks of jobs that continue.
	finishedTaskShare = 1.0 / 3
	// guaranteedShare is the fraction of an equal share that each controller is guaranteed.
	guaranteedShare = 1.0 / 4
)

// burstSeconds is the capacity of the token bucket, in seconds at the current rate. Half of it is
// reserved for urgent changes and job ends.
const burstSeconds = 3

// refill adds the changes accrued since the last refill, at a rate in changes per second.
func (b *writeBudget) refill(now time.Duration, rate float64) {
	b.rate = rate
	b.available = min(b.available+b.rate*(now-b.refilledAt).Seconds(), max(burstSeconds*b.rate, 1))
	b.refilledAt = now
}

// exhausted reports whether the budget allows no write now.
func (b *writeBudget) exhausted() bool { return b.available <= 0 }

// onlyReserveLeft reports whether only the reserved half of the budget is left.
func (b *writeBudget) onlyReserveLeft() bool { return b.available < burstSeconds*b.rate/2 }

// spend deducts changes from the budget.
func (b *writeBudget) spend(changes int) { b.available -= float64(changes) }

// share returns a controller's share of a write rate, in changes per second. The rate goes to the
// ranks in order: each gets enough to store the due changes of all controllers within a second,
// divided in proportion to the controllers' due changes. The remainder is divided equally, so that
// each controller can store a start immediately. A controller gets at least guaranteedShare of an
// equal share of the rate.
func (due *changesByRank) share(all changesByRank, rate float64, controllers int) float64 {
	remaining := rate
	guaranteed := remaining * guaranteedShare / float64(controllers)
	share := 0.0
	for rank, changes := range all {
		if changes > 0 {
			want := min(remaining, float64(changes))
			share += want * float64(due[rank]) / float64(changes)
			remaining -= want
		}
	}
	return max(share+remaining/float64(controllers), guaranteed)
}

// writeRank returns the rank of a job's pending write: ended jobs come first, then starts by
// priority, then all other changes. Best-effort jobs that have ended have the same rank as starts of
// the lowest priority. A job that was cancelled while blocked on dependencies ranks last: nobody
// waits for its end to be stored, and a cascade of hundreds of them would delay all starts.
func writeRank(j *job.Job) int {
	if j.Cancelled && j.Blocked {
		return rankBackground
	}
	ends := j.Complete() || j.Cancelled
	switch {
	case ends && !isBestEffort(j):
		return rankJobEnds
	case ends || j.Urgent:
		return rankStarts + j.Rank()
	}
	return rankBackground
}
