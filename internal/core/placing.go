package core

import (
	"cmp"
	"slices"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/core/scaling"
	"pepperlever/internal/progress"
)

// jobPlacement is the state of one job in a round.
type jobPlacement struct {
	zones  placement.Zones
	picker *placement.Picker
	// unstoredMachines is the set of machines with bindings of this job that are not stored yet.
	unstoredMachines map[string]bool
	// unplaced is the number of startable tasks that the round has not placed yet. Each placement
	// lowers it, so that the round ends.
	unplaced int
}

// placementFor returns the job's state in this round, creating it on first use.
func (r *round) placementFor(queue *teamQueue, j *job.Job) *jobPlacement {
	if p := queue.placements[j.ID]; p != nil {
		return p
	}
	hosts := excludeFailedHosts(j, r.hostsFor(queue, j))
	p := &jobPlacement{
		zones:            r.tasksByZone(j),
		picker:           placement.NewPicker(j.EffectiveSpec(), hosts),
		unstoredMachines: map[string]bool{},
		unplaced:         r.core.startAllowance(j),
	}
	for _, b := range j.Bound {
		if !b.Stored {
			p.unstoredMachines[b.Machine] = true
		}
	}
	queue.placements[j.ID] = p
	return p
}

// placeNext places one allocation of a team: a single task, or a whole gang. A job that cannot be
// placed is skipped in favor of the team's next job of the same priority. It returns the
// resources that were allocated, and false if no job could be placed.
func (r *round) placeNext(queue *teamQueue) (job.Resources, bool) {
	priority := queue.jobs[0].Rank()
	for len(queue.jobs) > 0 && queue.jobs[0].Rank() == priority {
		j := queue.jobs[0]
		need, placed := r.tryPlace(queue, j)
		if !placed || queue.placements[j.ID].unplaced <= 0 {
			queue.jobs = queue.jobs[1:]
		}
		if placed {
			return need, true
		}
	}
	return job.Resources{}, false
}

// tryPlace places one allocation of a job, and returns the resources that it takes.
func (r *round) tryPlace(queue *teamQueue, j *job.Job) (job.Resources, bool) {
	if r.unschedulable.covers(j, r.isSpotOnly(queue, j), r.priorReservations) {
		pending := r.core.startAllowance(j)
		if withinLimit(queue.team, queue.usage.Plus(j.Need, 1)) {
			r.requestReservation(j, pending)
		}
		r.addUnplacedDemand(queue, j, pending)
		return job.Resources{}, false
	}
	p := r.placementFor(queue, j)
	tasks := 1
	if j.Kind == job.Gang {
		tasks = j.PendingTasks()
	}
	need := job.Resources{}.Plus(j.Need, float64(tasks))
	if !r.mayPlace(queue, j, p, need) {
		return job.Resources{}, false
	}
	chosen := p.choose(j, tasks, r.openHosts, r.core.progress)
	if len(chosen) == 0 {
		r.handleUnplaced(queue, j, p)
		return job.Resources{}, false
	}
	p.unplaced -= len(chosen)
	queue.usage = queue.usage.Plus(need, 1)
	r.bindAll(queue, j, p, chosen)
	return need, true
}

// reservedConditions is the number of conditions of a transaction that are kept for checks other
// than those on the machines of new bindings.
const reservedConditions = 4

// mayPlace reports whether an allocation is within the team's limit. Every binding counts towards
// the limit until it is removed, which requires proof that its task has exited or can no longer
// start. mayPlace also bounds the number of machines with unstored bindings by the number of
// conditions that one transaction may have.
func (r *round) mayPlace(queue *teamQueue, j *job.Job, p *jobPlacement, need job.Resources) bool {
	if j.Kind == job.Gang && len(j.Bound) > 0 {
		return false // every binding of the previous attempt must have ended first
	}
	maxUnstored := r.core.limits.maxConditions() - reservedConditions
	return withinLimit(queue.team, queue.usage.Plus(need, 1)) && len(p.unstoredMachines) < maxUnstored
}

// choose finds hosts for a number of tasks of a job and allocates their capacity.
func (p *jobPlacement) choose(j *job.Job, tasks int, hosts []*placement.Host, finished *progress.Counter) []*placement.Host {
	if tasks > 1 || j.Kind == job.Gang {
		return placement.PlaceGang(&j.Spec, tasks, hosts, p.zones, finished)
	}
	host := p.picker.Next(p.unplaced, p.zones)
	if host == nil {
		return nil
	}
	host.Allocate(&j.Spec)
	p.zones[host.Zone]++
	return []*placement.Host{host}
}

// bindAll binds the next pending tasks of a job to the chosen hosts if this node leads the team.
// Otherwise the team's leader binds them.
func (r *round) bindAll(queue *teamQueue, j *job.Job, p *jobPlacement, chosen []*placement.Host) {
	if !queue.team.leading {
		return
	}
	c := r.core
	j.Attempt++
	j.Urgent = true
	index := -1
	for _, host := range chosen {
		index = j.NextPending(index + 1)
		m := c.machines.Get(host.ID)
		binding := &job.Binding{
			Machine: host.ID,
			Attempt: j.Attempt,
			Token:   m.GrantedToken,
			Epoch:   m.WorkerEpoch,
			Since:   c.now.Steady,
		}
		j.Bind(index, binding)
		c.scheduler.claims = append(c.scheduler.claims, claimOf(j, index, binding))
		p.unstoredMachines[host.ID] = true
		m.IdleSince = c.now.Steady
	}
	j.PendingSince, j.ClaimedAt = c.now.Steady, c.now.Steady
}

// handleUnplaced records that no host has capacity for a job. A suspected job runs one canary
// task at a time and causes no rentals or reservations, unless no existing host could hold the
// task, or replicas have proven that it runs.
func (r *round) handleUnplaced(queue *teamQueue, j *job.Job, p *jobPlacement) {
	if j.Suspected && r.core.provenReplicas(j) == 0 && fitsAnyWhenEmpty(&j.Spec, r.openHosts) {
		return
	}
	r.addUnplacedDemand(queue, j, p.unplaced)
	r.requestReservation(j, p.unplaced)
	r.unschedulable.add(j, r.isSpotOnly(queue, j))
}

// requestReservation reserves a host for a job that could not be placed. A job whose tasks need
// more than any reservation made so far in this round gets one host immediately: otherwise small
// tasks would fill every gap before it is large enough for a large task. A job older than the
// timeout, unless it is best-effort, also gets as many hosts as it has unplaced tasks at the end of
// the round. Its age is based on stored wall-clock times, so that all controllers agree on it.
func (r *round) requestReservation(j *job.Job, tasks int) {
	if j.Kind == job.Gang {
		return // reserveForGangs handles gangs
	}
	c := r.core
	age := time.Duration(c.now.Wall-j.EligibleSinceMS()) * time.Millisecond
	if !isBestEffort(j) && age >= seconds(c.policy.TimeoutS) {
		overdue := scaling.Demand{Spec: &j.Spec, Tasks: tasks, Zones: r.constrainedZones(j)}
		r.overdueDemand = append(r.overdueDemand, overdue)
	}
	isReserved := slices.ContainsFunc(r.reservedNeeds, func(reserved job.Resources) bool {
		return j.Need.Fits(reserved)
	})
	if !isReserved {
		r.reserveHosts(scaling.Demand{Spec: &j.Spec, Tasks: 1, Zones: r.constrainedZones(j)})
	}
}

// reserveForOverdue reserves hosts for demand older than the timeout, the largest tasks first.
func (r *round) reserveForOverdue() {
	slices.SortStableFunc(r.overdueDemand, func(a, b scaling.Demand) int {
		return cmp.Compare(b.Spec.Need.CPUs, a.Spec.Need.CPUs)
	})
	exhausted := map[job.Resources]bool{}
	for _, d := range r.overdueDemand {
		if !exhausted[d.Spec.Need] {
			exhausted[d.Spec.Need] = r.reserveHosts(d) < d.Tasks
		}
		r.core.progress.Advance()
	}
}

// reserveHosts reserves one host per unplaced task as far as possible, and returns the number of
// reserved hosts.
func (r *round) reserveHosts(d scaling.Demand) int {
	hosts := placement.Reserve(d.Spec, d.Tasks, d.Zones, r.hosts)
	for _, host := range hosts {
		r.reservedNeeds = append(r.reservedNeeds, d.Spec.Need)
		r.core.scheduler.reservedFor[host.ID] = d.Spec.Need
	}
	return len(hosts)
}

// addUnplacedDemand adds unplaced tasks, up to the team's limit, to the demand for scaling out. If
// this node leads the team, the job may also preempt others at the end of the round.
func (r *round) addUnplacedDemand(queue *teamQueue, j *job.Job, tasks int) {
	c := r.core
	r.gpuStarved = r.gpuStarved || j.Need.GPUs > 0
	entitlement := r.entitlement(queue, j)
	if entitlement == scaling.BestEffort {
		tasks = bestEffortTasks(j, tasks, c.catalog.LongestBootS())
	}
	allowed := tasksWithinLimit(queue.team, queue.usage, j.Need, tasks)
	if allowed == 0 {
		return
	}
	queue.usage = queue.usage.Plus(j.Need, float64(allowed))
	c.scheduler.pendingDemand = append(c.scheduler.pendingDemand, scaling.Demand{
		Spec:        &j.Spec,
		Tasks:       allowed,
		Entitlement: entitlement,
		Zones:       r.constrainedZones(j),
	})
	if queue.team.leading {
		r.starved = append(r.starved, j)
	}
}
