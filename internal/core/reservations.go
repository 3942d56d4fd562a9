package core

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"pepperlever/internal/core/headroom"
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/core/scaling"
)

// aside is the room that is set aside: machines with accelerators for the work that
// asks for them, and some room for the next services, which neither wait for a boot
// nor give their room back soon. All controllers set the same room aside, since they
// mirror the same jobs and machines.
type reservations struct {
	// wanted is how many machines of a type the work that asks for accelerators uses at
	// its peak, spot whether it may use spot ones; peaks are by type.
	wanted map[string]int
	spot   map[string]bool
	peaks  map[string]*headroom.Peak
	// services are the classes of services, by name; images are those they use.
	services map[string]*headroom.Class
	images   map[string]map[string]bool
	// hosts are the machines that were set aside in the newest round.
	hosts map[string]bool
	// short is set while accelerator work finds no room.
	short bool
}

// peakLeases is the window of the peak of accelerator work, in leases of a worker.
const peakLeases = 10

// weighReservations sums up the jobs that room is set aside for, and tells whether any is.
func (c *Core) weighReservations() bool {
	a := &c.scheduler.reserved
	need := map[string]float64{}
	a.spot, a.services, a.images = map[string]bool{}, map[string]*headroom.Class{}, map[string]map[string]bool{}
	for _, j := range c.jobs {
		if j.Need.GPUs == 0 && j.Kind != job.Service || j.Cancelled || j.Suspected || c.isOutgoing(j.ID) {
			continue
		}
		switch {
		case j.Need.GPUs > 0:
			if t := c.catalog.CheapestFor(&j.Spec); t != "" {
				need[t] += float64(j.Tasks-j.Done.Len()) / float64(placement.FitCount(j.Need, c.catalog.Capacity(t)))
				a.spot[t] = a.spot[t] || j.Spot
			}
		default:
			s := a.services[j.Class]
			if s == nil {
				s = &headroom.Class{}
				a.services[j.Class], a.images[j.Class] = s, map[string]bool{}
			}
			s.Add(&j.Spec)
			a.images[j.Class][j.Image] = true
		}
	}
	if a.peaks == nil {
		a.peaks = map[string]*headroom.Peak{}
	}
	window := int64(c.now.Steady / (peakLeases * seconds(c.cfg.Params.Workers.LeaseS)))
	a.wanted = map[string]int{}
	for t := range c.catalog.All() {
		p := a.peaks[t]
		if p == nil {
			p = &headroom.Peak{}
			a.peaks[t] = p
		}
		p.Observe(window, int(math.Ceil(need[t]-1e-6))) // whatever the order of the sum
		if p.Max() > 0 {
			a.wanted[t] = p.Max()
		}
	}
	return len(a.wanted)+len(a.services) > 0
}

// reserve marks the hosts that are set aside in this round.
func (c *Core) reserve(hosts []*placement.Host) {
	a := &c.scheduler.reserved
	a.hosts, a.short = map[string]bool{}, false
	for t, n := range ordered(a.wanted) {
		c.reserveForGPUs(t, n, hosts)
	}
	for class, s := range ordered(a.services) {
		c.reserveForServices(s, a.images[class], hosts)
	}
}

// reserveForGPUs keeps the n hosts of a type that other work uses least free of it. Tasks
// that need no accelerators but run for long used to settle on the only machines that
// gangs fit on: every third replica was there, and half of the gangs never started.
func (c *Core) reserveForGPUs(typ string, n int, hosts []*placement.Host) {
	var of []*placement.Host
	for _, h := range hosts {
		if h.Type == typ && (!h.Spot || c.scheduler.reserved.spot[typ]) {
			of = append(of, h)
		}
	}
	others := func(h *placement.Host) float64 {
		if h.Free.GPUs < h.Capacity.GPUs {
			return -1
		}
		return h.Capacity.CPUs - h.Free.CPUs
	}
	slices.SortStableFunc(of, func(a, b *placement.Host) int { return cmp.Compare(others(a), others(b)) })
	for _, h := range of[:min(n, len(of))] {
		h.GPUOnly = true
		c.scheduler.reserved.hosts[h.ID] = true
	}
}

// reserveForServices keeps room for the next replicas of a class: for two of its largest
// jobs, and for one of each image where that image is, since a replica has no time to
// fetch one. Only where there is too little are arrays left to end for it, and machines
// asked for.
func (c *Core) reserveForServices(s *headroom.Class, images map[string]bool, hosts []*placement.Host) {
	spare := s.Headroom() + c.misplaced(s.Spec.Class, hosts)
	able := c.rooms(s.Spec, hosts)
	now := slices.DeleteFunc(slices.Clone(able), func(r room) bool { return r.ending > 0 })
	perImage := func(rooms []room) {
		for _, image := range slices.Sorted(maps.Keys(images)) {
			c.keepRoom(min(s.Largest, spare), slices.DeleteFunc(slices.Clone(rooms), func(r room) bool { return !r.host.Images.HasImage(image) }))
		}
	}
	perImage(now)
	left := c.keepRoom(spare, now)
	perImage(able)
	if left > 0 {
		c.keepRoom(spare, able)
		several := *s.Spec
		several.Spread = false // they are of more than one job
		c.scheduler.pendingDemand = append(c.scheduler.pendingDemand, scaling.Demand{Spec: &several, Tasks: left, Entitlement: scaling.Guaranteed})
	}
}

// misplaced counts the replicas of a class on hosts that are set aside for accelerator
// work: they need room elsewhere before they can be moved.
func (c *Core) misplaced(class string, hosts []*placement.Host) int {
	n := 0
	for _, h := range hosts {
		if load := c.machines.Load(h.ID); h.GPUOnly && load != nil {
			for ref := range load.Tasks {
				if ref.Job.Class == class {
					n++
				}
			}
		}
	}
	return n
}

// room is a host with room for some services, now or once the arrays on it have ended,
// which take ending thousandths of CPUs: whole numbers add up alike in any order.
type room struct {
	host   *placement.Host
	slots  int
	ending int
}

// rooms lists the hosts that services may be kept room on, those that have it now first.
func (c *Core) rooms(s *job.Spec, hosts []*placement.Host) []room {
	var out []room
	for _, h := range hosts {
		if h.GPUOnly || h.RemainingS >= 0 || !s.Allows(h.Type, h.Zone, h.Spot) {
			continue
		}
		r := room{host: h, slots: placement.FitCount(s.Need, h.Free)}
		if load := c.machines.Load(h.ID); r.slots == 0 && load != nil {
			free := h.Free
			for ref := range load.Tasks {
				if ref.Job.Kind == job.Array {
					free = free.Plus(ref.Job.Need, 1)
					r.ending += int(1000 * ref.Job.Need.CPUs)
				}
			}
			r.slots = placement.FitCount(s.Need, free)
		}
		if r.slots > 0 {
			out = append(out, r)
		}
	}
	slices.SortStableFunc(out, func(a, b room) int { return cmp.Compare(a.ending, b.ending) })
	return out
}

// keepRoom sets hosts aside for n services, from every zone in turn, and tells for how
// many there are none. Hosts that are set aside already count. Arrays on a host are left
// to end, and none comes in their place: each gap that they leave is too narrow for a
// replica, so that waiting for a wide one kept nothing.
func (c *Core) keepRoom(n int, rooms []room) int {
	zones := map[string][]room{}
	for _, r := range rooms {
		if r.host.ServicesOnly {
			n -= r.slots
		} else {
			zones[r.host.Zone] = append(zones[r.host.Zone], r)
		}
	}
	for i, found := 0, true; found && n > 0; i++ {
		found = false
		for _, of := range ordered(zones) {
			if i < len(of) && n > 0 {
				found = true
				of[i].host.ServicesOnly = true
				c.scheduler.reserved.hosts[of[i].host.ID] = true
				n -= of[i].slots
			}
		}
	}
	return n
}

// evacuate moves the replicas of one host at a time off the hosts that are set aside for
// accelerator work, while such work waits and there is room for them elsewhere. They
// had settled there before anything that needs the accelerators was known.
func (c *Core) evacuate(hosts []*placement.Host) {
	if !c.scheduler.reserved.short || !c.every(&c.timers.vacate, c.reportInterval()) {
		return
	}
	for _, h := range hosts {
		if !h.GPUOnly || h.Free.GPUs < h.Capacity.GPUs {
			continue
		}
		zones := map[string]placement.Zones{}
		moved := false
		c.eachLedBinding(h.ID, func(ref job.Ref, b *job.Binding) bool { return c.movable(ref, b) }, func(j *job.Job, i int, b *job.Binding) {
			if zones[j.ID] == nil {
				zones[j.ID] = c.zonesOf(j)
			}
			zones[j.ID][h.Zone]--
			if to := placement.Choose(&j.Spec, hosts, zones[j.ID]); to != nil {
				to.Take(&j.Spec)
				zones[j.ID][to.Zone]++
				c.log(Debug, "replica moved off accelerators", "task", j.TaskID(i), "machine", h.ID)
				c.stopTask(j, i, b, 0)
				moved = true
			}
		})
		if moved {
			return
		}
	}
}

// movable tells whether a task is a replica that has run for a while.
func (c *Core) movable(ref job.Ref, b *job.Binding) bool {
	m := c.machines.Get(b.Machine)
	return ref.Job.Kind == job.Service && ref.Job.Need.GPUs == 0 && m != nil &&
		m.RunningTime(ref.Job.TaskID(ref.Index), b.Attempt, c.now.Steady) > seconds(c.policy.TimeoutS)
}

// reserveForGangs lets gangs whose patience is over, the longest first, gather hosts: what
// comes free in the zone where most of them are free already is held until the gang fits.
// Gangs of one task took every host as it came free, and one of eight never found as many.
func (c *Core) reserveForGangs(turns []*candidate, hosts []*placement.Host) {
	var old []*job.Job
	for _, u := range turns {
		for _, j := range u.jobs {
			// One whose team has no room for it under its limit gathers nothing: it held all
			// that came free, and other teams waited beside empty machines.
			whole := job.Resources{}.Plus(j.Need, float64(j.Waiting()))
			if j.Kind == job.Gang && len(j.Bound) == 0 && !lowest(j) && c.now.Wall >= c.gangReservationTime(j) && withinLimit(u.team, u.used.Plus(whole, 1)) {
				old = append(old, j)
			}
		}
	}
	slices.SortFunc(old, func(a, b *job.Job) int {
		return cmp.Or(cmp.Compare(a.Rank(), b.Rank()), cmp.Compare(c.gangReservationTime(a), c.gangReservationTime(b)), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range old {
		placement.ReserveForGang(&j.Spec, j.Waiting(), hosts)
	}
}

// gangReservationTime is the time of day, in milliseconds, from which a gang gathers hosts. While
// one of eight gathers them several small ones wait that could have run, so it waits for
// longer than they do: as the square of its size, up to holdMost time-outs. Where there was
// more work than room for minutes four were too many: less than half of the largest gangs
// began within four minutes. By age alone all waited longer.
func (c *Core) gangReservationTime(j *job.Job) int64 {
	n := float64(j.Tasks)
	return j.Since() + int64(c.policy.TimeoutS*1000*min((n*n-1)/holdSquare, holdMost))
}

// A gang of four waits for about one time-out, one of eight or more for holdMost.
const (
	holdSquare = 16
	holdMost   = 3
	holdAfter  = 4
)
