package core

import (
	"cmp"
	"iter"
	"maps"
	"math"
	"slices"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/core/headroom"
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/core/scaling"
	"pepperlever/internal/core/worker"
)

// peakLeases is the window of the peak of accelerator work, in leases of a worker.
const peakLeases = 10

// reservations is the room that is reserved: machines with accelerators for the work that
// asks for them, and some room for the next services, which neither wait for a machine to boot
// nor give their room back soon. All controllers reserve the same room, since they replicate
// the same jobs and machines.
type reservations struct {
	// gpuMachines is how many machines of a type the work that asks for accelerators uses at
	// its peak, gpuSpot whether it may use spot ones; gpuPeaks are by type.
	gpuMachines map[string]int
	gpuSpot     map[string]bool
	gpuPeaks    map[string]*headroom.Peak
	// services are the classes of services by name.
	services map[string]*serviceClass
	// hosts are the machines that were reserved in the newest round.
	hosts map[string]bool
}

// serviceClass sums up the services of one class.
type serviceClass struct {
	headroom.Class
	// images are those that the services use.
	images map[string]bool
}

func newReservations() reservations {
	return reservations{gpuPeaks: map[string]*headroom.Peak{}}
}

// updateReservations sums up the jobs that room is reserved for, and tells whether there are
// any.
func (c *Core) updateReservations() bool {
	window := peakLeases * seconds(c.cfg.Params.Workers.LeaseS)
	jobs := func(yield func(*job.Job) bool) {
		for _, j := range c.jobs {
			if needsReservation(j) && !c.isOutgoing(j.ID) && !yield(j) {
				return
			}
		}
	}
	return c.scheduler.reservations.update(jobs, c.catalog, int64(c.now.Steady/window))
}

// needsReservation tells whether a job is of a kind that room is reserved for.
func needsReservation(j *job.Job) bool {
	return (j.Need.GPUs > 0 || j.Kind == job.Service) && !j.Cancelled && !j.Suspected
}

// update sums up jobs in a numbered window of the peak, and tells whether there are any to
// reserve room for.
func (r *reservations) update(jobs iter.Seq[*job.Job], types catalog.Catalog, window int64) bool {
	gpuNeed := map[string]float64{}
	r.gpuSpot, r.services = map[string]bool{}, map[string]*serviceClass{}
	for j := range jobs {
		if j.Need.GPUs == 0 {
			r.addService(j)
			continue
		}
		if name := types.CheapestFor(&j.Spec); name != "" {
			perMachine := placement.FitCount(j.Need, types.Capacity(name))
			gpuNeed[name] += float64(j.Tasks-j.Done.Len()) / float64(perMachine)
			r.gpuSpot[name] = r.gpuSpot[name] || j.Spot
		}
	}
	r.updatePeaks(gpuNeed, types, window)
	return len(r.gpuMachines)+len(r.services) > 0
}

// addService adds a service to its class.
func (r *reservations) addService(j *job.Job) {
	class := r.services[j.Class]
	if class == nil {
		class = &serviceClass{images: map[string]bool{}}
		r.services[j.Class] = class
	}
	class.Add(&j.Spec)
	class.images[j.Image] = true
}

// needTolerance keeps sums of whole numbers whole, whatever the order of the sum.
const needTolerance = 1e-6

// updatePeaks notes how many machines of each type accelerator work needs now.
func (r *reservations) updatePeaks(need map[string]float64, types catalog.Catalog, window int64) {
	r.gpuMachines = map[string]int{}
	for name := range types.All() {
		peak := r.gpuPeaks[name]
		if peak == nil {
			peak = &headroom.Peak{}
			r.gpuPeaks[name] = peak
		}
		peak.Observe(window, int(math.Ceil(need[name]-needTolerance)))
		if peak.Max() > 0 {
			r.gpuMachines[name] = peak.Max()
		}
	}
}

// includes tells whether a machine was reserved in the newest round.
func (r *reservations) includes(machine string) bool { return r.hosts[machine] }

// apply marks the hosts that are reserved in this round, and returns the demand of services
// that room could not be reserved for.
func (r *reservations) apply(hosts []*placement.Host, machines *worker.Registry) []scaling.Demand {
	r.hosts = map[string]bool{}
	for name, machines := range ordered(r.gpuMachines) {
		r.reserveForGPUs(name, machines, hosts)
	}
	var demand []scaling.Demand
	for _, class := range ordered(r.services) {
		if missing := r.reserveForServices(class, hosts, machines); missing > 0 {
			spec := *class.Spec
			spec.Spread = false // the tasks are of more than one job
			demand = append(demand, scaling.Demand{Spec: &spec, Tasks: missing, Entitlement: scaling.Guaranteed})
		}
	}
	return demand
}

// reserveForGPUs keeps the hosts of a type that other work uses least free of it. Tasks that
// need no accelerators but run for long would hold the only machines that gangs fit on.
func (r *reservations) reserveForGPUs(typ string, machines int, hosts []*placement.Host) {
	var usable []*placement.Host
	for _, h := range hosts {
		if h.Type == typ && (!h.Spot || r.gpuSpot[typ]) {
			usable = append(usable, h)
		}
	}
	slices.SortStableFunc(usable, func(a, b *placement.Host) int {
		return cmp.Compare(otherWork(a), otherWork(b))
	})
	for _, h := range usable[:min(machines, len(usable))] {
		h.GPUOnly = true
		r.hosts[h.ID] = true
	}
}

// otherWork is how many CPUs of a host are in use by work without accelerators, less than
// nothing where accelerators are in use.
func otherWork(h *placement.Host) float64 {
	if h.Free.GPUs < h.Capacity.GPUs {
		return -1
	}
	return h.Capacity.CPUs - h.Free.CPUs
}

// reserveForServices reserves room for the next replicas of a class: for two of its largest
// jobs, and for one of each image where that image is, since a replica has no time to fetch
// one. Only where there is too little are arrays left to end for it. It tells for how many
// replicas there is no room now.
func (r *reservations) reserveForServices(class *serviceClass, hosts []*placement.Host, machines *worker.Registry) int {
	wanted := class.Headroom() + misplacedReplicas(class.Spec.Class, hosts, machines)
	usable := serviceHosts(class.Spec, hosts, machines)
	freeNow := slices.DeleteFunc(slices.Clone(usable), func(h serviceHost) bool { return h.arrayMilliCPUs > 0 })
	r.reserveByImage(class, wanted, freeNow)
	missing := r.reserveSlots(wanted, freeNow)
	r.reserveByImage(class, wanted, usable)
	if missing > 0 {
		r.reserveSlots(wanted, usable)
	}
	return missing
}

// reserveByImage reserves room for the largest job of a class with each of its images.
func (r *reservations) reserveByImage(class *serviceClass, wanted int, hosts []serviceHost) {
	for _, image := range slices.Sorted(maps.Keys(class.images)) {
		withImage := slices.DeleteFunc(slices.Clone(hosts), func(h serviceHost) bool {
			return !h.Images.HasImage(image)
		})
		r.reserveSlots(min(class.Largest, wanted), withImage)
	}
}

// misplacedReplicas counts the replicas of a class on hosts that are reserved for accelerator
// work: they need room elsewhere before they can be moved.
func misplacedReplicas(class string, hosts []*placement.Host, machines *worker.Registry) int {
	replicas := 0
	for _, h := range hosts {
		load := machines.Load(h.ID)
		if !h.GPUOnly || load == nil {
			continue
		}
		for ref := range load.Tasks {
			if ref.Job.Class == class {
				replicas++
			}
		}
	}
	return replicas
}

// serviceHost is a host with room for some replicas, now or once the arrays on it have ended.
type serviceHost struct {
	*placement.Host
	slots int
	// arrayMilliCPUs is what the arrays that have to end take, in thousandths of CPUs: whole
	// numbers add up alike in any order.
	arrayMilliCPUs int
}

// serviceHosts lists the hosts that room for services may be reserved on, those that have it
// now first.
func serviceHosts(s *job.Spec, hosts []*placement.Host, machines *worker.Registry) []serviceHost {
	var out []serviceHost
	for _, h := range hosts {
		if h.GPUOnly || h.RemainingS >= 0 || !s.Allows(h.Type, h.Zone, h.Spot) {
			continue
		}
		if candidate := serviceHostOf(s, h, machines.Load(h.ID)); candidate.slots > 0 {
			out = append(out, candidate)
		}
	}
	slices.SortStableFunc(out, func(a, b serviceHost) int {
		return cmp.Compare(a.arrayMilliCPUs, b.arrayMilliCPUs)
	})
	return out
}

// serviceHostOf works out the room for services on a host.
func serviceHostOf(s *job.Spec, h *placement.Host, load *job.Load) serviceHost {
	out := serviceHost{Host: h, slots: placement.FitCount(s.Need, h.Free)}
	if out.slots > 0 || load == nil {
		return out
	}
	free := h.Free
	for ref := range load.Tasks {
		if ref.Job.Kind == job.Array {
			free = free.Plus(ref.Job.Need, 1)
			out.arrayMilliCPUs += int(1000 * ref.Job.Need.CPUs)
		}
	}
	out.slots = placement.FitCount(s.Need, free)
	return out
}

// reserveSlots reserves hosts for a number of replicas, from every zone in turn, and tells for
// how many there are none. Hosts that are reserved already count. Arrays on a host are left to
// end, and none comes in their place: each gap that they leave is too narrow for a replica.
func (r *reservations) reserveSlots(wanted int, hosts []serviceHost) int {
	byZone := map[string][]serviceHost{}
	for _, h := range hosts {
		if h.ServicesOnly {
			wanted -= h.slots
		} else {
			byZone[h.Zone] = append(byZone[h.Zone], h)
		}
	}
	for i, found := 0, true; found && wanted > 0; i++ {
		found = false
		for _, inZone := range ordered(byZone) {
			if i < len(inZone) && wanted > 0 {
				found = true
				inZone[i].ServicesOnly = true
				r.hosts[inZone[i].ID] = true
				wanted -= inZone[i].slots
			}
		}
	}
	return wanted
}
