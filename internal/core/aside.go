package core

import (
	"cmp"
	"math"
	"slices"

	"pepperlever/internal/core/fleet"
	"pepperlever/internal/core/headroom"
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
)

// aside is the room that is set aside: machines with accelerators for the work that
// asks for them, and some room for the next services, which neither wait for a boot
// nor give their room back soon. All controllers set the same room aside, since they
// mirror the same jobs and machines.
type aside struct {
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
}

// peakLeases is the window of the peak of accelerator work, in leases of a worker.
const peakLeases = 10

// weighAside sums up the jobs that room is set aside for, and tells whether any is.
func (c *Core) weighAside() bool {
	a := &c.sched.aside
	need := map[string]float64{}
	a.spot, a.services, a.images = map[string]bool{}, map[string]*headroom.Class{}, map[string]map[string]bool{}
	for _, j := range c.jobs {
		switch {
		case j.Cancelled || j.Suspected || c.away(j.ID):
		case j.Need.GPUs > 0:
			if t := c.leastDear(&j.Spec); t != "" {
				need[t] += float64(j.Tasks-j.Done.Len()) / float64(placement.Fit(j.Need, capacity(c.types[t])))
				a.spot[t] = a.spot[t] || j.Spot
			}
		case j.Kind == job.Service:
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
	for t := range c.types {
		p := a.peaks[t]
		if p == nil {
			p = &headroom.Peak{}
			a.peaks[t] = p
		}
		p.Note(window, int(math.Ceil(need[t])))
		if p.Max() > 0 {
			a.wanted[t] = p.Max()
		}
	}
	return len(a.wanted)+len(a.services) > 0
}

// leastDear is the type on which a task costs least, of those that may hold one.
func (c *Core) leastDear(s *job.Spec) string {
	best, least := "", math.Inf(1)
	for name, t := range ordered(c.types) {
		if s.Need.Fits(capacity(t)) && (s.Types == nil || slices.Contains(s.Types, name)) {
			if price := t.Price / float64(placement.Fit(s.Need, capacity(t))); price < least {
				best, least = name, price
			}
		}
	}
	return best
}

// setAside marks the hosts that are set aside in this round.
func (c *Core) setAside(hosts []*placement.Host) {
	a := &c.sched.aside
	a.hosts = map[string]bool{}
	for t, n := range ordered(a.wanted) {
		c.setAsideGPUs(t, n, hosts)
	}
	for class, s := range ordered(a.services) {
		c.setAsideServices(s, a.images[class], hosts)
	}
}

// setAsideGPUs keeps the n hosts of a type that other work uses least free of it. Tasks
// that need no accelerators but run for long used to settle on the only machines that
// gangs fit on: every third replica was there, and half of the gangs never started.
func (c *Core) setAsideGPUs(typ string, n int, hosts []*placement.Host) {
	var of []*placement.Host
	for _, h := range hosts {
		if h.Type == typ && (!h.Spot || c.sched.aside.spot[typ]) {
			of = append(of, h)
		}
	}
	others := func(h *placement.Host) float64 {
		if h.Room.GPUs < h.Size.GPUs {
			return -1
		}
		return h.Size.CPUs - h.Room.CPUs
	}
	slices.SortStableFunc(of, func(a, b *placement.Host) int { return cmp.Compare(others(a), others(b)) })
	for _, h := range of[:min(n, len(of))] {
		h.ForGPUs = true
		c.sched.aside.hosts[h.ID] = true
	}
}

// setAsideServices keeps room for the next replicas of a class, in every zone and where
// most of their images are, and asks for machines where there is too little.
func (c *Core) setAsideServices(s *headroom.Class, images map[string]bool, hosts []*placement.Host) {
	zones := map[string][]*placement.Host{}
	has := map[*placement.Host]int{}
	for _, h := range hosts {
		if !h.ForGPUs && h.Lasts < 0 && s.Spec.Allows(h.Type, h.Zone, h.Spot) && s.Spec.Need.Fits(h.Room) {
			for image := range images {
				if h.Images.HasImage(image) {
					has[h]++
				}
			}
			zones[h.Zone] = append(zones[h.Zone], h)
		}
	}
	for _, of := range zones {
		slices.SortStableFunc(of, func(a, b *placement.Host) int { return cmp.Compare(has[b], has[a]) })
	}
	left := s.Spare()
	for n := 0; left > 0; n++ {
		found := false
		for _, of := range ordered(zones) {
			if n < len(of) && left > 0 {
				found = true
				of[n].ForServices = true
				c.sched.aside.hosts[of[n].ID] = true
				left -= placement.Fit(s.Spec.Need, of[n].Room)
			}
		}
		if !found {
			break
		}
	}
	if left > 0 {
		c.sched.unplaced = append(c.sched.unplaced, fleet.Demand{Spec: s.Spec, Tasks: left, Right: fleet.Guaranteed})
	}
}

// holdForGangs lets gangs whose patience is over, the longest first, gather hosts: what
// comes free in the zone where most of them are free already is held until the gang fits.
// Gangs of one task took every host as it came free, and one of eight never found as many.
func (c *Core) holdForGangs(turns []*turn, hosts []*placement.Host) {
	var old []*job.Job
	for _, u := range turns {
		for _, j := range u.jobs {
			if j.Kind == job.Gang && len(j.Bound) == 0 && !lowest(j) && c.now.Wall >= c.holdsFrom(j) {
				old = append(old, j)
			}
		}
	}
	slices.SortFunc(old, func(a, b *job.Job) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(c.holdsFrom(a), c.holdsFrom(b)), cmp.Compare(a.ID, b.ID))
	})
	for _, j := range old {
		placement.Hold(&j.Spec, j.Waiting(), hosts)
	}
}

// holdsFrom is the time of day, in milliseconds, from which a gang gathers hosts: after
// a time-out for each doubling of its size. While a gang of eight gathers them, several
// small ones wait that could have run.
func (c *Core) holdsFrom(j *job.Job) int64 {
	return j.Accepted + int64(c.policy.TimeoutS*1000*math.Log2(float64(j.Tasks)))
}
