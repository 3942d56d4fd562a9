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

// round is a single scheduling round: the pending jobs, the hosts, and intermediate results. It
// reads the cluster state from core and changes bindings there.
type round struct {
	core *Core
	// queues holds the pending jobs of each team.
	queues []*teamQueue
	// ranking holds the fairness record of each queue's team, in the order of queues.
	ranking []fairness.Team
	// hosts are all schedulable machines. openHosts leaves out those without CPUs for any pending task.
	hosts, openHosts []*placement.Host
	// priorReservations is the set of resource needs that hosts were reserved for in the previous
	// round.
	priorReservations map[job.Resources]bool
	// reservedNeeds lists the resource needs that hosts are reserved for in this round.
	reservedNeeds []job.Resources
	// overdueDemand is the demand that has waited longer than the timeout and could not be
	// placed.
	overdueDemand []scaling.Demand
	// starved lists the jobs of teams led by this node that could not be placed.
	starved []*job.Job
	// gpuStarved is set when a job that needs GPUs could not be placed.
	gpuStarved    bool
	unschedulable unschedulableSet
	// bestEffortHosts caches the hosts for best-effort jobs, keyed by whether the job's tasks are
	// short.
	bestEffortHosts map[bool][]*placement.Host
}

// newRound returns a round with empty queues.
func newRound(c *Core) *round {
	return &round{
		core:              c,
		priorReservations: map[job.Resources]bool{},
		bestEffortHosts:   map[bool][]*placement.Host{},
	}
}

// teamQueue is the state of one team in a scheduling round.
type teamQueue struct {
	team *team
	// jobs are the pending jobs, in the order in which they are served.
	jobs []*job.Job
	// usage is what the team uses, including the tasks placed in this round and the demand for
	// which machines are to be rented.
	usage      job.Resources
	placements map[string]*jobPlacement
}

// run applies reservations, places pending tasks, moves services off hosts reserved for GPU jobs, and
// preempts running tasks for jobs that could not be placed.
func (r *round) run() {
	r.prepareHosts()
	c := r.core
	demand := c.scheduler.reservations.apply(r.hosts, c.machines)
	c.scheduler.pendingDemand = append(c.scheduler.pendingDemand, demand...)
	r.reserveForGangs()
	r.openHosts = placement.WithFreeCPUs(r.hosts, r.leastCPUNeed())
	r.placeAll()
	r.reserveForOverdue()
	r.evacuateGPUHosts()
	if len(r.starved) > 0 {
		r.preempt()
	}
}

// prepareHosts lists the hosts and carries over the reservations of the previous round, unless
// urgent jobs may use reserved hosts.
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

// leastCPUNeed returns the fewest CPUs that a task of a pending job needs.
func (r *round) leastCPUNeed() float64 {
	least := job.Unlimited
	for _, queue := range r.queues {
		for _, j := range queue.jobs {
			least = min(least, j.Need.CPUs)
		}
	}
	return least
}

// hasUrgentWork reports whether a job above normal priority has been pending for longer than a
// report interval. Such a job may use reserved hosts. Before that it is limited to unreserved
// capacity, which it gets ahead of all other jobs, so that large tasks keep their reservations.
func (r *round) hasUrgentWork() bool {
	return slices.ContainsFunc(r.queues, func(queue *teamQueue) bool {
		return slices.ContainsFunc(queue.jobs, r.isUrgent)
	})
}

// isUrgent reports whether a job above normal priority has been pending for longer than a report
// interval.
func (r *round) isUrgent(j *job.Job) bool {
	waited := r.core.now.Steady - j.PendingSince
	return j.AboveNormal() && !j.Suspected && waited > r.core.reportInterval()
}

// collectQueues lists the teams that have pending jobs, with their jobs in serving order.
func (r *round) collectQueues() {
	weights := teamWeights(r.core.teams)
	for i, t := range r.core.teams {
		queue := &teamQueue{team: t, usage: t.usage(), placements: map[string]*jobPlacement{}}
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
			Record:  t.exchangedRecord,
			Weight:  max(weights[i], 1),
			Overdue: slices.ContainsFunc(queue.jobs, r.isOverdue),
		})
	}
}

// mayStartNow reports whether any task of a job may be placed in this round.
func (r *round) mayStartNow(j *job.Job) bool {
	return r.core.startAllowance(j) > 0 && r.core.now.Steady >= j.NotBefore && j.Version > 0
}

// isOverdue reports whether a job that is not suspected has been pending for longer than the policy's
// timeout.
func (r *round) isOverdue(j *job.Job) bool {
	return !j.Suspected && r.core.now.Steady-j.PendingSince > seconds(r.core.policy.TimeoutS)
}

// sortJobs sorts jobs into the order in which they are served.
func (r *round) sortJobs(jobs []*job.Job) {
	slices.SortFunc(jobs, func(a, b *job.Job) int {
		return cmp.Or(
			cmp.Compare(a.Rank(), b.Rank()),
			cmp.Compare(r.schedulingKey(a), r.schedulingKey(b)),
			cmp.Compare(a.ID, b.ID),
		)
	})
}

// starvationTimeouts is the number of policy timeouts after which a job that has not started any
// task is served first, so that wide arrays cannot starve small ones.
const starvationTimeouts = 4

// schedulingKey is the sort key among jobs of equal priority: the latest start time, or for gangs
// without a deadline the time at which hosts are first reserved for them. A job that has waited
// for starvationTimeouts without any bound or done task comes first until it has one.
func (r *round) schedulingKey(j *job.Job) int64 {
	timeoutS := r.core.policy.TimeoutS
	noneBoundOrDone := len(j.Bound)+j.Done.Len() == 0
	waitedMillis := float64(r.core.now.Wall - j.EligibleSinceMS())
	switch {
	case noneBoundOrDone && waitedMillis > starvationTimeouts*timeoutS*1000:
		return 0
	case j.Kind == job.Gang && !j.HasDeadline():
		return gangReservationTime(j, timeoutS)
	}
	return j.LatestStartMS()
}

// entitlement is the right of an unplaced job to expensive machines. It is strongest once half of
// the job's slack has passed.
func (r *round) entitlement(queue *teamQueue, j *job.Job) scaling.Entitlement {
	c := r.core
	maxWait := bestEffortWaitLeases * seconds(c.cfg.Params.Workers.LeaseS)
	switch {
	case isBestEffort(j) && c.now.Steady-j.PendingSince < maxWait:
		return scaling.BestEffort
	case c.now.Wall-j.EligibleSinceMS() > (j.LatestStartMS()-j.EligibleSinceMS())/2:
		return scaling.AtRisk
	case withinGuarantee(queue.team, queue.usage.CPUs+j.Need.CPUs):
		return scaling.Guaranteed
	}
	return scaling.Standard
}

// placeAll repeatedly lets the ranking pick a team and places that team's first job that fits,
// until no job of any team fits. It ends since each pass places a task or removes a job from its queue.
func (r *round) placeAll() {
	total := totalCapacity(r.core.machines, r.core.catalog)
	finished := make([]bool, len(r.queues))
	for {
		i := fairness.Next(r.ranking, r.skipLowerPriorities(finished), total)
		if i < 0 {
			return
		}
		need, placed := r.placeNext(r.queues[i])
		r.core.progress.Advance()
		finished[i] = len(r.queues[i].jobs) == 0
		if placed {
			ranked := &r.ranking[i]
			ranked.Overdue = false
			ranked.Record.Use = ranked.Record.Use.Add(resourceVector(need), usageRecordInterval.Seconds())
		}
	}
}

// skipLowerPriorities skips every team whose next job is below the highest pending priority: such
// a job would only be preempted by the higher one.
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
