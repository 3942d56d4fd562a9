package core

import (
	"cmp"
	"slices"
	"time"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/core/fairness"
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/core/scaling"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// recordInterval is how often records are exchanged, as the design says.
const recordInterval = 2 * time.Second

// schedulerState is what placing keeps between steps.
type schedulerState struct {
	dirty           bool
	next            time.Duration
	deliver         map[string]bool
	asked           map[string]bool
	returnRequested map[string]time.Duration
	// released is when this node last gave a machine back without a renter, returned
	// holds those that the cloud has taken, returnUnstoppedMachine those to ask for next.
	released map[string]time.Duration
	returned map[string]bool
	giveBack []string
	// pendingDemand is the demand that found no room in the last round.
	pendingDemand []scaling.Demand
	// starved holds this node's jobs among them.
	starved []*job.Job
	// hosts is the room for the list of hosts, used again by each round.
	hosts []placement.Host
	// all lists the hosts of this round.
	all []*placement.Host
	// unschedulable holds what found no room in this round, cheap the hosts for work in
	// idle time, short or not.
	unschedulable unschedulableSet
	// reservedNeeds holds the needs for which a host is kept in this round, wanting what is
	// older than the time-out and found no room.
	reservedNeeds []job.Resources
	overdueDemand []scaling.Demand
	// reservedFor tells what hosts were kept for in the newest round, previouslyReserved for
	// which needs any was in the one before.
	reservedFor        map[string]job.Resources
	previouslyReserved map[job.Resources]bool
	cheap              map[bool][]*placement.Host
	reserved           reservations
}

func newSchedState() schedulerState {
	return schedulerState{deliver: map[string]bool{}, asked: map[string]bool{}, returnRequested: map[string]time.Duration{},
		released: map[string]time.Duration{}, returned: map[string]bool{}}
}

// integrate adds the time since the last step to the records of this node's
// teams.
func (c *Core) integrate() {
	dt := c.now.Steady - c.timers.last
	if dt < recordInterval/8 {
		return
	}
	c.timers.last = c.now.Steady
	total := c.totalCapacity()
	shares := fairness.Shares(total, c.weights())
	window := c.now.Wall / int64(c.policy.WindowS*1000)
	for i, t := range c.teams {
		if t.leading {
			use := c.used(t)
			ask := use.Plus(c.waitingNeed(t), 1)
			t.record.Advance(window, min(dt, recordInterval).Seconds(), vector(use), vector(ask), shares[i])
		}
	}
}

func vector(r job.Resources) fairness.Vector {
	return fairness.Vector{r.CPUs, r.GPUs, r.MemoryGB}
}

func (c *Core) weights() []float64 {
	out := make([]float64, len(c.teams))
	for i, t := range c.teams {
		out[i] = t.CPUs
	}
	return out
}

func (c *Core) totalCapacity() fairness.Vector {
	var sum job.Resources
	for _, id := range c.machines.Names() {
		sum = sum.Plus(c.catalog.Capacity(c.machines.Get(id).Type), 1)
	}
	return vector(sum)
}

func (c *Core) used(t *team) job.Resources {
	var sum job.Resources
	for _, j := range t.jobs {
		sum = sum.Plus(j.Need, float64(len(j.Bound)))
	}
	return sum
}

func (c *Core) waitingNeed(t *team) job.Resources {
	var sum job.Resources
	for _, j := range t.jobs {
		sum = sum.Plus(j.Need, float64(c.startAllowance(j)))
	}
	return sum
}

// hosts lists the machines that can take tasks. Every node makes the same list
// from the same replica, so their plans differ little.
func (c *Core) hosts() []*placement.Host {
	kinds := c.catalog.Kinds()
	c.scheduler.hosts = slices.Grow(c.scheduler.hosts[:0], len(c.machines.Names()))
	out := make([]*placement.Host, 0, len(c.machines.Names()))
	for _, id := range c.machines.Names() {
		m := c.machines.Get(id)
		k, known := kinds[catalog.Kind{Type: m.Type, Spot: m.Spot}]
		if !known || !c.isSchedulable(m) {
			continue
		}
		h := placement.Host{ID: id, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Capacity: k.Capacity,
			Free: k.Capacity.Plus(c.machines.UsedResources(m), -1), Images: m, Empty: !c.machines.HasBindings(id), RemainingS: -1,
			PriorReservation: c.scheduler.reservedFor[id], Penalty: float64(c.failureScore(m)), ReportBytes: c.machines.EstimateReportBytes(m), RelativeSize: k.RelativeSize, PricePremium: k.PricePremium, GPUShare: k.GPUShare}
		if m.ReclaimAt > 0 {
			h.RemainingS = (m.ReclaimAt - c.now.Steady).Seconds()
		}
		c.scheduler.hosts = append(c.scheduler.hosts, h)
		out = append(out, &c.scheduler.hosts[len(c.scheduler.hosts)-1])
	}
	return out
}

// isSchedulable tells whether new tasks may go to a machine: it is heard and hears, does not
// close, and its controller can be told.
func (c *Core) isSchedulable(m *worker.Machine) bool {
	if _, closing := c.cordons[m.Machine]; closing || m.GrantedToken == 0 {
		return false
	}
	if _, closing := c.autoscaler.cordoned[m.Machine]; closing {
		return false
	}
	return !m.IsUnreachable() && c.hasContact(m.Node) && !c.reportOverdue(m) && c.failureScore(m) < cordonThreshold &&
		(m.FullAt == 0 || c.now.Steady-m.FullAt > c.reportInterval()/2)
}

// candidate is one team's part in a round of placing.
type candidate struct {
	team  *team
	jobs  []*job.Job
	used  job.Resources
	plans map[string]*jobPlacement
}

// jobPlacement is one job's part in a round.
type jobPlacement struct {
	zones  placement.Zones
	picker *placement.Picker
	// unstored holds the machines of bindings that are not stored yet.
	unstored map[string]bool
	// elsewhere counts the tasks that the round leaves to another home.
	elsewhere int
}

// placementOf starts a job's part in the round, or goes on with it.
func (c *Core) placementOf(u *candidate, j *job.Job, hosts []*placement.Host) *jobPlacement {
	if p := u.plans[j.ID]; p != nil {
		return p
	}
	p := &jobPlacement{zones: c.zonesOf(j), unstored: map[string]bool{}, picker: placement.NewPicker(j.Effective(), unfailed(j, c.meantFor(u, j, hosts)))}
	u.plans[j.ID] = p
	for _, b := range j.Bound {
		if !b.Stored {
			p.unstored[b.Machine] = true
		}
	}
	return p
}

// zonesOf counts the bound tasks of a job by zone.
func (c *Core) zonesOf(j *job.Job) placement.Zones {
	out := placement.Zones{}
	for _, b := range j.Bound {
		if m := c.machines.Get(b.Machine); m != nil {
			out[m.Zone]++
		} else {
			out[placement.UnknownZone]++
		}
	}
	return out
}

// boundZones is zonesOf for a job to whose next tasks it matters.
func (c *Core) boundZones(j *job.Job) placement.Zones {
	if !j.OneZone && !j.Spread {
		return nil
	}
	return c.zonesOf(j)
}

// unfailed leaves out the hosts that a job has failed on since it last
// succeeded, unless there is no other.
func unfailed(j *job.Job, hosts []*placement.Host) []*placement.Host {
	if len(j.FailedOn) == 0 {
		return hosts
	}
	others := slices.DeleteFunc(slices.Clone(hosts), func(h *placement.Host) bool { return slices.Contains(j.FailedOn, h.ID) })
	if !anyHolds(&j.Spec, others) {
		return hosts
	}
	return others
}

// requestRound has waiting tasks placed anew soon, since jobs, room or limits have changed.
// Without a request the next scheduling round comes later.
func (c *Core) requestRound() { c.scheduler.dirty = true }

// schedule places waiting tasks. The plan covers the teams of all controllers
// in the order of the ranking; this node binds those of its own teams and
// leaves the room of the others to their homes.
func (c *Core) schedule() {
	defer c.deliverAll()
	interval := c.reportInterval() / 30
	if !c.loaded || !c.catalog.Loaded() || c.now.Steady < c.scheduler.next {
		return
	}
	if !c.scheduler.dirty && c.now.Steady < c.scheduler.next+10*interval {
		return
	}
	c.scheduler.next, c.scheduler.dirty = c.now.Steady+interval, false
	c.scheduler.pendingDemand, c.scheduler.starved, c.scheduler.unschedulable, c.scheduler.cheap = nil, nil, nil, nil
	c.scheduler.reservedNeeds, c.scheduler.overdueDemand = c.scheduler.reservedNeeds[:0], nil
	turns, ranked := c.candidates()
	if !c.weighReservations() && len(turns) == 0 {
		return
	}
	if c.urgentWaits(turns) {
		c.scheduler.reservedFor = nil
	}
	hosts := c.hosts()
	c.scheduler.all, c.scheduler.previouslyReserved = hosts, map[job.Resources]bool{}
	for _, need := range c.scheduler.reservedFor {
		c.scheduler.previouslyReserved[need] = true
	}
	c.scheduler.reservedFor = map[string]job.Resources{}
	placement.DeprioritizeSurplus(hosts, c.policy.Spare)
	c.reserve(hosts)
	c.reserveForGangs(turns, hosts)
	c.place(turns, ranked, placement.WithFreeCPUs(hosts))
	c.reserveHosts()
	c.evacuate(hosts)
	if len(c.scheduler.starved) > 0 {
		c.preempt(hosts)
	}
}

// candidates lists the teams that wait, with their jobs in order.
func (c *Core) candidates() ([]*candidate, []fairness.Team) {
	var turns []*candidate
	var ranked []fairness.Team
	weights := c.weights()
	for i, t := range c.teams {
		u := &candidate{team: t, used: c.used(t), plans: map[string]*jobPlacement{}}
		overdue := false
		for _, j := range t.jobs {
			if c.startAllowance(j) > 0 && c.now.Steady >= j.NotBefore && j.Version > 0 {
				u.jobs = append(u.jobs, j)
				overdue = overdue || !j.Suspected && c.now.Steady-j.WaitingSince > seconds(c.policy.TimeoutS)
			}
		}
		if len(u.jobs) == 0 {
			continue
		}
		slices.SortFunc(u.jobs, func(a, b *job.Job) int {
			return cmp.Or(cmp.Compare(a.Rank(), b.Rank()), cmp.Compare(c.schedulingKey(a), c.schedulingKey(b)), cmp.Compare(a.ID, b.ID))
		})
		turns = append(turns, u)
		ranked = append(ranked, fairness.Team{Record: t.ranked, Weight: max(weights[i], 1), Overdue: overdue})
	}
	return turns, ranked
}

// schedulingKey orders jobs of a priority: by when they would have to start, and gangs
// without a deadline by when they begin to gather hosts. What has waited for holdAfter
// time-outs and has nothing yet comes first, until it has something: behind wide arrays
// small ones began after up to six minutes.
func (c *Core) schedulingKey(j *job.Job) int64 {
	switch {
	case len(j.Bound)+j.Done.Len() == 0 && float64(c.now.Wall-j.Since()) > holdAfter*c.policy.TimeoutS*1000:
		return 0
	case j.Kind == job.Gang && !j.HasDeadline():
		return c.gangReservationTime(j)
	}
	return j.LatestStart()
}

// entitlement is the right of a job that found no room to dear machines: the
// strongest once half of its slack has gone by.
func (c *Core) entitlement(u *candidate, j *job.Job) scaling.Entitlement {
	switch {
	case lowest(j) && c.now.Steady-j.WaitingSince < idlePatience*seconds(c.cfg.Params.Workers.LeaseS):
		return scaling.BestEffort
	case c.now.Wall-j.Since() > (j.LatestStart()-j.Since())/2:
		return scaling.AtRisk
	case u.used.CPUs+j.Need.CPUs <= u.team.CPUs:
		return scaling.Guaranteed
	}
	return scaling.Standard
}

// place runs a round: the ranking picks a team, the team's first job that fits
// gets a place, and so on until no team has anything that fits.
func (c *Core) place(turns []*candidate, ranked []fairness.Team, hosts []*placement.Host) {
	total := c.totalCapacity()
	skip := make([]bool, len(turns))
	for {
		i := fairness.Next(ranked, urgentFirst(turns, skip), total)
		if i < 0 {
			return
		}
		need, ok := c.placeNext(turns[i], hosts)
		skip[i] = len(turns[i].jobs) == 0
		if !ok {
			continue
		}
		ranked[i].Overdue = false
		ranked[i].Record.Use = ranked[i].Record.Use.Add(vector(need), recordInterval.Seconds())
	}
}

// urgentFirst lets only the teams take part whose next job has the highest
// priority that waits anywhere: a job of a lower one would be stopped for it.
func urgentFirst(turns []*candidate, skip []bool) []bool {
	top := len(protocol.Priorities)
	for i, u := range turns {
		if !skip[i] {
			top = min(top, u.jobs[0].Rank())
		}
	}
	out := slices.Clone(skip)
	for i, u := range turns {
		out[i] = skip[i] || u.jobs[0].Rank() > top
	}
	return out
}

// placeNext places one allocation of a team: a task, or a whole gang. Jobs that
// find no room leave their turn to the team's next of the same priority.
func (c *Core) placeNext(u *candidate, hosts []*placement.Host) (job.Resources, bool) {
	for tier := u.jobs[0].Rank(); len(u.jobs) > 0 && u.jobs[0].Rank() == tier; {
		j := u.jobs[0]
		if c.scheduler.unschedulable.holds(j, c.cheapOnly(u, j), c.scheduler.previouslyReserved) {
			if withinLimit(u.team, u.used.Plus(j.Need, 1)) {
				c.noteUnschedulable(j, c.startAllowance(j))
			}
			c.noteUnplaced(u, j, c.startAllowance(j))
			u.jobs = u.jobs[1:]
			continue
		}
		p := c.placementOf(u, j, hosts)
		n := 1
		if j.Kind == job.Gang {
			n = j.Waiting()
		}
		need := job.Resources{}.Plus(j.Need, float64(n))
		if c.placeable(u, j, p, need) {
			if chosen := choose(j, p, n, c.left(j, p), hosts); chosen != nil {
				u.used = u.used.Plus(need, 1)
				c.bindAll(u, j, p, chosen)
				if c.left(j, p) == 0 {
					u.jobs = u.jobs[1:]
				}
				return need, true
			}
			if !j.Suspected || !anyHolds(&j.Spec, hosts) {
				c.noteUnplaced(u, j, c.left(j, p))
				c.noteUnschedulable(j, c.left(j, p))
				c.scheduler.unschedulable.add(j, c.cheapOnly(u, j))
			}
		}
		u.jobs = u.jobs[1:]
	}
	return job.Resources{}, false
}

// urgentWaits tells whether work above normal has found no room for a report interval.
// Then it may have that of kept hosts. Otherwise it takes the gaps beside them, before
// all others: taken everywhere, they left no room for large tasks anywhere.
func (c *Core) urgentWaits(turns []*candidate) bool {
	return slices.ContainsFunc(turns, func(u *candidate) bool {
		return slices.ContainsFunc(u.jobs, func(j *job.Job) bool {
			return j.AboveNormal() && !j.Suspected && c.now.Steady-j.WaitingSince > c.reportInterval()
		})
	})
}

// noteUnschedulable notes that a job found no room. The first with tasks of a size has a host kept
// free of others at once, and one that is older than the time-out as many as it has
// tasks for at the end of the round, unless it is work for idle time. The age goes by
// the stored time of day, so that all controllers agree. One that asked for more than
// another which was stuck used to get none at all, and large tasks starved behind small
// ones, which take each gap before it is wide enough.
func (c *Core) noteUnschedulable(j *job.Job, left int) {
	if j.Kind == job.Gang {
		return // reserveForGangs gathers them
	}
	if !lowest(j) && time.Duration(c.now.Wall-j.Since())*time.Millisecond >= seconds(c.policy.TimeoutS) {
		c.scheduler.overdueDemand = append(c.scheduler.overdueDemand, scaling.Demand{Spec: &j.Spec, Tasks: left, Zones: c.boundZones(j)})
	}
	if as := func(kept job.Resources) bool { return j.Need.Fits(kept) }; !slices.ContainsFunc(c.scheduler.reservedNeeds, as) {
		c.reserveHostsFor(scaling.Demand{Spec: &j.Spec, Tasks: 1, Zones: c.boundZones(j)})
	}
}

// reserveHosts keeps hosts for what is older than the time-out, the largest tasks first.
func (c *Core) reserveHosts() {
	slices.SortStableFunc(c.scheduler.overdueDemand, func(a, b scaling.Demand) int { return cmp.Compare(b.Spec.Need.CPUs, a.Spec.Need.CPUs) })
	short := map[job.Resources]bool{}
	for _, d := range c.scheduler.overdueDemand {
		if !short[d.Spec.Need] {
			short[d.Spec.Need] = c.reserveHostsFor(d) < d.Tasks
		}
	}
}

// reserveHostsFor keeps up to as many hosts as there are tasks without a place, and tells how many.
func (c *Core) reserveHostsFor(d scaling.Demand) int {
	hosts := placement.Reserve(d.Spec, d.Tasks, d.Zones, c.scheduler.all)
	for _, h := range hosts {
		c.scheduler.reservedNeeds = append(c.scheduler.reservedNeeds, d.Spec.Need)
		c.scheduler.reservedFor[h.ID] = d.Spec.Need
	}
	return len(hosts)
}

// placeable checks the team's limit. Bindings that are not settled count. The
// machines of bindings that are not stored yet stay within the conditions that
// one transaction may have.
func (c *Core) placeable(u *candidate, j *job.Job, p *jobPlacement, need job.Resources) bool {
	if j.Kind == job.Gang && len(j.Bound) > 0 {
		return false // the old attempt has to be gone first
	}
	return withinLimit(u.team, u.used.Plus(need, 1)) && len(p.unstored) < c.limits.maxConditions()-4
}

// noteUnplaced notes demand of n tasks for the renting of machines, up to the team's limit.
func (c *Core) noteUnplaced(u *candidate, j *job.Job, n int) {
	c.scheduler.reserved.short = c.scheduler.reserved.short || j.Need.GPUs > 0
	right := c.entitlement(u, j)
	if right == scaling.BestEffort {
		n = c.worth(j, n)
	}
	fit := c.fitsLimit(u.team, u.used, j, n)
	u.used = u.used.Plus(j.Need, float64(fit))
	if fit > 0 {
		c.scheduler.pendingDemand = append(c.scheduler.pendingDemand, scaling.Demand{Spec: &j.Spec, Tasks: fit, Entitlement: right, Zones: c.boundZones(j)})
	}
	if u.team.leading && fit > 0 {
		c.scheduler.starved = append(c.scheduler.starved, j)
	}
}

// left is the number of tasks that the round has not placed yet.
func (c *Core) left(j *job.Job, p *jobPlacement) int { return c.startAllowance(j) - p.elsewhere }

// anyHolds tells whether any host could hold a task, were it empty.
func anyHolds(s *job.Spec, hosts []*placement.Host) bool {
	return slices.ContainsFunc(hosts, func(h *placement.Host) bool {
		return s.Allows(h.Type, h.Zone, h.Spot) && s.Need.Fits(h.Capacity)
	})
}

// choose finds hosts for n tasks of a job and takes their room.
func choose(j *job.Job, p *jobPlacement, n, left int, hosts []*placement.Host) []*placement.Host {
	if n > 1 || j.Kind == job.Gang {
		return placement.PlaceGang(&j.Spec, n, hosts, p.zones)
	}
	h := p.picker.Next(left, p.zones)
	if h == nil {
		return nil
	}
	h.Take(&j.Spec)
	p.zones[h.Zone]++
	return []*placement.Host{h}
}

// bindAll binds the next waiting tasks of a job to the chosen hosts, if this
// node is the team's home.
func (c *Core) bindAll(u *candidate, j *job.Job, p *jobPlacement, chosen []*placement.Host) {
	if !u.team.leading {
		p.elsewhere += len(chosen)
		return
	}
	j.Attempt++
	j.Urgent = true
	i := -1
	for _, h := range chosen {
		i = j.NextWaiting(i + 1)
		m := c.machines.Get(h.ID)
		j.Bind(i, &job.Binding{Machine: h.ID, Attempt: j.Attempt, Term: m.GrantedToken, Session: m.Session, Since: c.now.Steady})
		c.claims = append(c.claims, Claim{Machine: h.ID, Task: j.TaskID(i), Attempt: j.Attempt})
		p.unstored[h.ID] = true
		m.IdleSince = c.now.Steady
	}
	j.WaitingSince, j.ClaimedAt = c.now.Steady, c.now.Steady
}

// deliverAll sends the starts and stops that this step has queued.
func (c *Core) deliverAll() {
	for id := range ordered(c.scheduler.deliver) {
		if w := c.agents[id]; w != nil {
			c.deliverTo(id, w)
		}
		delete(c.scheduler.deliver, id)
	}
}

// storeRecords keeps the records where a crash does not lose them.
func (c *Core) storeRecords() {
	for _, t := range c.teams {
		if t.leading && c.storeOK {
			c.compareAndSwap(recordTxn(t), false, func(StoreReply) {})
		}
	}
}
