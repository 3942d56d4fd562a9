package core

import (
	"cmp"
	"slices"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/core/scaling"
)

// jobPlacement is one job's part in a round.
type jobPlacement struct {
	zones  placement.Zones
	picker *placement.Picker
	// unstored holds the machines of bindings that are not stored yet.
	unstored map[string]bool
	// elsewhere counts the tasks whose binding the round leaves to another leader.
	elsewhere int
}

// placementOf starts a job's part in the round, or goes on with it.
func (r *round) placementOf(queue *teamQueue, j *job.Job) *jobPlacement {
	if p := queue.plans[j.ID]; p != nil {
		return p
	}
	hosts := withoutFailed(j, r.hostsFor(queue, j))
	p := &jobPlacement{
		zones:    r.zonesOf(j),
		picker:   placement.NewPicker(j.EffectiveSpec(), hosts),
		unstored: map[string]bool{},
	}
	for _, b := range j.Bound {
		if !b.Stored {
			p.unstored[b.Machine] = true
		}
	}
	queue.plans[j.ID] = p
	return p
}

// placeNext places one allocation of a team: a task, or a whole gang. Jobs that find no room
// make way for the team's next one of the same priority.
func (r *round) placeNext(queue *teamQueue) (job.Resources, bool) {
	priority := queue.jobs[0].Rank()
	for len(queue.jobs) > 0 && queue.jobs[0].Rank() == priority {
		j := queue.jobs[0]
		need, placed := r.tryPlace(queue, j)
		if !placed || r.unplaced(j, queue.plans[j.ID]) == 0 {
			queue.jobs = queue.jobs[1:]
		}
		if placed {
			return need, true
		}
	}
	return job.Resources{}, false
}

// tryPlace places one allocation of a job, and tells what it takes.
func (r *round) tryPlace(queue *teamQueue, j *job.Job) (job.Resources, bool) {
	if r.unschedulable.covers(j, r.isSpotOnly(queue, j), r.priorReservations) {
		waiting := r.core.startAllowance(j)
		if withinLimit(queue.team, queue.usage.Plus(j.Need, 1)) {
			r.noteUnschedulable(j, waiting)
		}
		r.noteUnplaced(queue, j, waiting)
		return job.Resources{}, false
	}
	p := r.placementOf(queue, j)
	tasks := 1
	if j.Kind == job.Gang {
		tasks = j.PendingTasks()
	}
	need := job.Resources{}.Plus(j.Need, float64(tasks))
	if !r.mayPlace(queue, j, p, need) {
		return job.Resources{}, false
	}
	chosen := p.choose(j, tasks, r.unplaced(j, p), r.openHosts)
	if chosen == nil {
		r.noteNoRoom(queue, j, p)
		return job.Resources{}, false
	}
	queue.usage = queue.usage.Plus(need, 1)
	r.bindAll(queue, j, p, chosen)
	return need, true
}

// freeConditions is how many conditions of a transaction are left for other checks than those
// of the machines of new bindings.
const freeConditions = 4

// mayPlace checks the team's limit. Bindings that are not settled count. The machines of
// bindings that are not stored yet stay within the conditions that one transaction may have.
func (r *round) mayPlace(queue *teamQueue, j *job.Job, p *jobPlacement, need job.Resources) bool {
	if j.Kind == job.Gang && len(j.Bound) > 0 {
		return false // the old attempt has to be gone first
	}
	maxUnstored := r.core.limits.maxConditions() - freeConditions
	return withinLimit(queue.team, queue.usage.Plus(need, 1)) && len(p.unstored) < maxUnstored
}

// unplaced is the number of tasks of a job that the round has not placed yet.
func (r *round) unplaced(j *job.Job, p *jobPlacement) int {
	return r.core.startAllowance(j) - p.elsewhere
}

// choose finds hosts for a number of tasks of a job and takes their room. unplaced is how
// many tasks of the job are to be placed in all.
func (p *jobPlacement) choose(j *job.Job, tasks, unplaced int, hosts []*placement.Host) []*placement.Host {
	if tasks > 1 || j.Kind == job.Gang {
		return placement.PlaceGang(&j.Spec, tasks, hosts, p.zones)
	}
	host := p.picker.Next(unplaced, p.zones)
	if host == nil {
		return nil
	}
	host.Take(&j.Spec)
	p.zones[host.Zone]++
	return []*placement.Host{host}
}

// bindAll binds the next waiting tasks of a job to the chosen hosts, if this node leads the
// team.
func (r *round) bindAll(queue *teamQueue, j *job.Job, p *jobPlacement, chosen []*placement.Host) {
	if !queue.team.leading {
		p.elsewhere += len(chosen)
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
			Epoch:   m.Session,
			Since:   c.now.Steady,
		}
		j.Bind(index, binding)
		c.scheduler.claims = append(c.scheduler.claims, claimOf(j, index, binding))
		p.unstored[host.ID] = true
		m.IdleSince = c.now.Steady
	}
	j.PendingSince, j.ClaimedAt = c.now.Steady, c.now.Steady
}

// noteNoRoom notes that no host has room for a job. The one task at a time of a suspected job
// asks for no machines, unless none could hold it.
func (r *round) noteNoRoom(queue *teamQueue, j *job.Job, p *jobPlacement) {
	if j.Suspected && anyCanHold(&j.Spec, r.openHosts) {
		return
	}
	r.noteUnplaced(queue, j, r.unplaced(j, p))
	r.noteUnschedulable(j, r.unplaced(j, p))
	r.unschedulable.add(j, r.isSpotOnly(queue, j))
}

// noteUnschedulable notes that a job found no room. The first with tasks of a size has a host
// reserved at once, and one that is older than the time-out as many as it has tasks for at the
// end of the round, unless it is best-effort work. The age goes by the stored time of day, so
// that all controllers agree. Each size has a reservation of its own: small tasks would take
// every gap before it is wide enough for a large one.
func (r *round) noteUnschedulable(j *job.Job, tasks int) {
	if j.Kind == job.Gang {
		return // reserveForGangs reserves for them
	}
	c := r.core
	age := time.Duration(c.now.Wall-j.EligibleSince()) * time.Millisecond
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

// reserveForOverdue reserves hosts for what is older than the time-out, the largest tasks
// first.
func (r *round) reserveForOverdue() {
	slices.SortStableFunc(r.overdueDemand, func(a, b scaling.Demand) int {
		return cmp.Compare(b.Spec.Need.CPUs, a.Spec.Need.CPUs)
	})
	exhausted := map[job.Resources]bool{}
	for _, d := range r.overdueDemand {
		if !exhausted[d.Spec.Need] {
			exhausted[d.Spec.Need] = r.reserveHosts(d) < d.Tasks
		}
	}
}

// reserveHosts reserves up to as many hosts as there are tasks without a place, and tells how
// many.
func (r *round) reserveHosts(d scaling.Demand) int {
	hosts := placement.Reserve(d.Spec, d.Tasks, d.Zones, r.hosts)
	for _, host := range hosts {
		r.reservedNeeds = append(r.reservedNeeds, d.Spec.Need)
		r.core.scheduler.reservedFor[host.ID] = d.Spec.Need
	}
	return len(hosts)
}

// noteUnplaced notes demand of a number of tasks for scaling out, up to the team's limit.
func (r *round) noteUnplaced(queue *teamQueue, j *job.Job, tasks int) {
	c := r.core
	r.gpuStarved = r.gpuStarved || j.Need.GPUs > 0
	entitlement := r.entitlement(queue, j)
	if entitlement == scaling.BestEffort {
		tasks = bestEffortTasks(j, tasks, c.catalog.LongestBootS())
	}
	fit := tasksWithinLimit(queue.team, queue.usage, j.Need, tasks)
	if fit == 0 {
		return
	}
	queue.usage = queue.usage.Plus(j.Need, float64(fit))
	c.scheduler.pendingDemand = append(c.scheduler.pendingDemand, scaling.Demand{
		Spec:        &j.Spec,
		Tasks:       fit,
		Entitlement: entitlement,
		Zones:       r.constrainedZones(j),
	})
	if queue.team.leading {
		r.starved = append(r.starved, j)
	}
}
