package core

import (
	"cmp"
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
)

// Bounds of gangReservationDelay. A gang of four waits for about one timeout before hosts are
// reserved for it, a gang of seven or more for maxGangTimeouts.
const (
	gangSizeDivisor = 16
	maxGangTimeouts = 3
)

// reserveForGangs reserves hosts for gangs that have waited long enough, by priority and then by
// gangReservationOrder. Hosts with free resources are reserved until the gang fits. If the gang must
// stay in one zone, the zone with the most such hosts is used. Without reservations, jobs that need
// fewer hosts would take each host as it becomes free, and a large gang would never find enough.
func (r *round) reserveForGangs() {
	var eligible []*job.Job
	for _, queue := range r.queues {
		for _, j := range queue.jobs {
			if r.mayReserveForGang(queue, j) {
				eligible = append(eligible, j)
			}
		}
	}
	timeoutS := r.core.policy.TimeoutS
	slices.SortFunc(eligible, func(a, b *job.Job) int {
		return cmp.Or(
			cmp.Compare(a.Rank(), b.Rank()),
			cmp.Compare(gangReservationOrder(a, timeoutS), gangReservationOrder(b, timeoutS)),
			cmp.Compare(a.ID, b.ID),
		)
	})
	for _, j := range eligible {
		placement.ReserveForGang(&j.Spec, j.PendingTasks(), r.hosts)
		r.core.progress.Advance()
	}
}

// mayReserveForGang reports whether hosts may be reserved for a job now. A gang that exceeds its
// team's limit must not reserve any: it would hold all capacity that becomes free, while other
// teams wait next to empty machines.
func (r *round) mayReserveForGang(queue *teamQueue, j *job.Job) bool {
	if j.Kind != job.Gang || len(j.Bound) > 0 || isBestEffort(j) {
		return false
	}
	if r.core.now.Wall < gangReservationTime(j, r.core.policy.TimeoutS) {
		return false
	}
	total := job.Resources{}.Plus(j.Need, float64(j.PendingTasks()))
	return withinLimit(queue.team, queue.usage.Plus(total, 1))
}

// gangReservationTime is the wall-clock time, in milliseconds, from which hosts are reserved for
// a gang.
func gangReservationTime(j *job.Job, timeoutS float64) int64 {
	return j.EligibleSinceMS() + gangReservationDelay(j, timeoutS)
}

// gangReservationOrder is the sort key of the gangs that hosts are reserved for. It depends only on
// the stored job and the policy, not on when the gang's dependencies were done, because controllers
// learn of that at different moments. Two leaders that disagreed on the order would each leave the
// hosts to the other's gang.
func gangReservationOrder(j *job.Job, timeoutS float64) int64 {
	return j.Accepted + gangReservationDelay(j, timeoutS)
}

// gangReservationDelay is how long, in milliseconds, a gang waits before hosts are reserved for
// it. While hosts are collected for a large gang, small ones that could have run are held up. The
// delay therefore grows with the square of the gang's size, up to maxGangTimeouts.
func gangReservationDelay(j *job.Job, timeoutS float64) int64 {
	tasks := float64(j.Tasks)
	timeouts := min((tasks*tasks-1)/gangSizeDivisor, maxGangTimeouts)
	return int64(timeoutS * 1000 * timeouts)
}
