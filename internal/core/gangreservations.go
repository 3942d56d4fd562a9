package core

import (
	"cmp"
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
)

// A gang of four waits for about one time-out before hosts are reserved for it, one of eight
// or more for maxGangTimeouts.
const (
	gangSizeDivisor = 16
	maxGangTimeouts = 3
)

// reserveForGangs reserves hosts for gangs that have waited for long enough, the longest
// first: what comes free in the zone where most hosts are free already is reserved until the
// gang fits. Otherwise gangs of one task would take every host as it comes free, and a large
// one would never find as many as it needs.
func (r *round) reserveForGangs() {
	var waiting []*job.Job
	for _, queue := range r.queues {
		for _, j := range queue.jobs {
			if r.mayReserveForGang(queue, j) {
				waiting = append(waiting, j)
			}
		}
	}
	timeoutS := r.core.policy.TimeoutS
	slices.SortFunc(waiting, func(a, b *job.Job) int {
		return cmp.Or(
			cmp.Compare(a.Rank(), b.Rank()),
			cmp.Compare(gangOrder(a, timeoutS), gangOrder(b, timeoutS)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	for _, j := range waiting {
		placement.ReserveForGang(&j.Spec, j.PendingTasks(), r.hosts)
	}
}

// mayReserveForGang tells whether hosts may be reserved for a job now. A gang that its team's
// limit has no room for may not: it would hold all that comes free, and other teams would wait
// beside empty machines.
func (r *round) mayReserveForGang(queue *teamQueue, j *job.Job) bool {
	if j.Kind != job.Gang || len(j.Bound) > 0 || isBestEffort(j) {
		return false
	}
	if r.core.now.Wall < gangReservationTime(j, r.core.policy.TimeoutS) {
		return false
	}
	whole := job.Resources{}.Plus(j.Need, float64(j.PendingTasks()))
	return withinLimit(queue.team, queue.usage.Plus(whole, 1))
}

// gangReservationTime is the time of day, in milliseconds, from which hosts are reserved for a
// gang.
func gangReservationTime(j *job.Job, timeoutS float64) int64 {
	return j.EligibleSince() + gangReservationDelay(j, timeoutS)
}

// gangOrder orders the gangs that hosts are reserved for. It goes by the stored time of acceptance
// alone: each controller learns at another moment when a gang's dependencies are done, and two
// leaders that disagreed on the order would each leave the hosts to the gang of the other.
func gangOrder(j *job.Job, timeoutS float64) int64 {
	return j.Accepted + gangReservationDelay(j, timeoutS)
}

// gangReservationDelay is for how long, in milliseconds, nothing is reserved for a gang. While a
// large one gathers hosts several small ones wait that could have run, so it waits for longer than
// they do: as the square of its size, up to maxGangTimeouts.
func gangReservationDelay(j *job.Job, timeoutS float64) int64 {
	n := float64(j.Tasks)
	timeouts := min((n*n-1)/gangSizeDivisor, maxGangTimeouts)
	return int64(timeoutS * 1000 * timeouts)
}
