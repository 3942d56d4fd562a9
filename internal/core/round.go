package core

import (
	"cmp"
	"slices"

	"pepperlever/internal/core/fairness"
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/core/scaling"
	"pepperlever/internal/protocol"
)

// round is one round of scheduling: what is to be placed, the hosts, and what has been found
// out on the way. It reads the cluster from core and changes bindings there.
type round struct {
	core *Core
	// queues are the waiting jobs by team.
	queues []*teamQueue
	// ranking holds the teams of the queues as the ranking sees them.
	ranking []fairness.Team
	// hosts are all schedulable machines, openHosts those with free CPUs.
	hosts, openHosts []*placement.Host
	// priorReservations are the needs that any host was reserved for in the round before.
	priorReservations map[job.Resources]bool
	// reservedNeeds are the needs that a host is reserved for in this round.
	reservedNeeds []job.Resources
	// overdueDemand is what has waited for the time-out and found no room.
	overdueDemand []scaling.Demand
	// starved are the jobs of led teams that found no room.
	starved []*job.Job
	// gpuStarved is set while work that asks for accelerators finds no room.
	gpuStarved    bool
	unschedulable unschedulableSet
	// bestEffortHosts are the hosts for best-effort work, by whether its tasks are short.
	bestEffortHosts map[bool][]*placement.Host
}

// newRound makes a round with nothing to place yet.
func newRound(c *Core) *round {
	return &round{
		core:              c,
		priorReservations: map[job.Resources]bool{},
		bestEffortHosts:   map[bool][]*placement.Host{},
	}
}

// teamQueue is one team's part in a round of scheduling.
type teamQueue struct {
	team *team
	// jobs wait for room, in the order in which they are served.
	jobs []*job.Job
	// usage is what the team uses with what the round has placed, and with the demand that
	// machines are rented for.
	usage job.Resources
	plans map[string]*jobPlacement
}

// run reserves room, places what waits, and makes room for what found none.
func (r *round) run() {
	r.prepareHosts()
	c := r.core
	demand := c.scheduler.reservations.apply(r.hosts, c.machines)
	c.scheduler.pendingDemand = append(c.scheduler.pendingDemand, demand...)
	r.reserveForGangs()
	r.openHosts = placement.WithFreeCPUs(r.hosts)
	r.place()
	r.reserveForOverdue()
	r.evacuateGPUHosts()
	if len(r.starved) > 0 {
		r.preempt()
	}
}

// prepareHosts lists the hosts, with the reservations of the round before.
func (r *round) prepareHosts() {
	s := &r.core.scheduler
	if r.hasUrgentWork() {
		s.reservedFor = nil
	}
	r.hosts = r.listHosts()
	for _, need := range s.reservedFor {
		r.priorReservations[need] = true
	}
	s.reservedFor = map[string]job.Resources{}
	placement.DeprioritizeSurplus(r.hosts, r.core.policy.Spare)
}

// hasUrgentWork tells whether work above normal priority has found no room for a report
// interval. Then it may use reserved hosts. Until then it takes the gaps beside them, before
// all others, so that large tasks keep what is reserved for them.
func (r *round) hasUrgentWork() bool {
	return slices.ContainsFunc(r.queues, func(queue *teamQueue) bool {
		return slices.ContainsFunc(queue.jobs, r.isUrgent)
	})
}

// isUrgent tells whether a job above normal priority has waited for longer than a report interval.
func (r *round) isUrgent(j *job.Job) bool {
	waited := r.core.now.Steady - j.PendingSince
	return j.AboveNormal() && !j.Suspected && waited > r.core.reportInterval()
}

// collectQueues lists the teams that wait, with their jobs in order.
func (r *round) collectQueues() {
	weights := teamWeights(r.core.teams)
	for i, t := range r.core.teams {
		queue := &teamQueue{team: t, usage: t.usage(), plans: map[string]*jobPlacement{}}
		for _, j := range t.jobs {
			if r.mayStartNow(j) {
				queue.jobs = append(queue.jobs, j)
			}
		}
		if len(queue.jobs) == 0 {
			continue
		}
		r.sortJobs(queue.jobs)
		r.queues = append(r.queues, queue)
		r.ranking = append(r.ranking, fairness.Team{
			Record:  t.ranked,
			Weight:  max(weights[i], 1),
			Overdue: slices.ContainsFunc(queue.jobs, r.isOverdue),
		})
	}
}

// mayStartNow tells whether any task of a job may be placed in this round.
func (r *round) mayStartNow(j *job.Job) bool {
	return r.core.startAllowance(j) > 0 && r.core.now.Steady >= j.NotBefore && j.Version > 0
}

// isOverdue tells whether a job has waited for the time-out of its team.
func (r *round) isOverdue(j *job.Job) bool {
	return !j.Suspected && r.core.now.Steady-j.PendingSince > seconds(r.core.policy.TimeoutS)
}

// sortJobs puts jobs in the order in which they are served.
func (r *round) sortJobs(jobs []*job.Job) {
	slices.SortFunc(jobs, func(a, b *job.Job) int {
		return cmp.Or(
			cmp.Compare(a.Rank(), b.Rank()),
			cmp.Compare(r.schedulingKey(a), r.schedulingKey(b)),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

// starvationTimeouts is after how many time-outs a job that has got nothing is served first,
// so that wide arrays do not hold up small ones.
const starvationTimeouts = 4

// schedulingKey orders jobs of a priority: by when they would have to start, and gangs
// without a deadline by when they begin to reserve hosts. A job that has got nothing for
// starvationTimeouts comes first until it gets something.
func (r *round) schedulingKey(j *job.Job) int64 {
	timeoutS := r.core.policy.TimeoutS
	gotNothing := len(j.Bound)+j.Done.Len() == 0
	waitedMillis := float64(r.core.now.Wall - j.EligibleSince())
	switch {
	case gotNothing && waitedMillis > starvationTimeouts*timeoutS*1000:
		return 0
	case j.Kind == job.Gang && !j.HasDeadline():
		return gangReservationTime(j, timeoutS)
	}
	return j.LatestStart()
}

// entitlement is the right of a job that found no room to expensive machines: the strongest
// once half of its slack has gone by.
func (r *round) entitlement(queue *teamQueue, j *job.Job) scaling.Entitlement {
	c := r.core
	patience := bestEffortPatience * seconds(c.cfg.Params.Workers.LeaseS)
	switch {
	case isBestEffort(j) && c.now.Steady-j.PendingSince < patience:
		return scaling.BestEffort
	case c.now.Wall-j.EligibleSince() > (j.LatestStart()-j.EligibleSince())/2:
		return scaling.AtRisk
	case queue.usage.CPUs+j.Need.CPUs <= queue.team.CPUs:
		return scaling.Guaranteed
	}
	return scaling.Standard
}

// place lets the ranking pick a team, gives the team's first job that fits a place, and goes
// on until no team has anything that fits.
func (r *round) place() {
	total := totalCapacity(r.core.machines, r.core.catalog)
	finished := make([]bool, len(r.queues))
	for {
		i := fairness.Next(r.ranking, r.skipLowerPriorities(finished), total)
		if i < 0 {
			return
		}
		need, placed := r.placeNext(r.queues[i])
		finished[i] = len(r.queues[i].jobs) == 0
		if placed {
			ranked := &r.ranking[i]
			ranked.Overdue = false
			ranked.Record.Use = ranked.Record.Use.Add(vector(need), usageRecordInterval.Seconds())
		}
	}
}

// skipLowerPriorities lets only the teams take part whose next job has the highest priority
// that waits anywhere: a job of a lower one would be stopped for it.
func (r *round) skipLowerPriorities(finished []bool) []bool {
	highest := len(protocol.Priorities)
	for i, queue := range r.queues {
		if !finished[i] {
			highest = min(highest, queue.jobs[0].Rank())
		}
	}
	skip := slices.Clone(finished)
	for i, queue := range r.queues {
		skip[i] = finished[i] || queue.jobs[0].Rank() > highest
	}
	return skip
}
