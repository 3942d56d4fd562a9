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

// peakWindowLeases is the window over which peak GPU demand is tracked, in worker leases.
const peakWindowLeases = 10

// reservations tracks reserved capacity: GPU machines for jobs that need GPUs, and headroom for
// new service replicas, which cannot wait for a machine to boot and hold their capacity for long.
// All controllers compute the same reservations, since they replicate the same jobs and machines.
type reservations struct {
	// gpuMachines is the peak number of machines of each type needed by GPU jobs. gpuSpotAllowed
	// holds whether they may be spot machines. gpuPeaks tracks the peak of each type.
	gpuMachines    map[string]int
	gpuSpotAllowed map[string]bool
	gpuPeaks       map[string]*headroom.Peak
	// services holds the service classes by name.
	services map[string]*serviceClass
	// hosts is the set of machines reserved in the latest round.
	hosts map[string]bool
}

// serviceClass aggregates the services of one class.
type serviceClass struct {
	headroom.Class
	// images are the container images that the services use.
	images map[string]bool
}

func newReservations() reservations {
	return reservations{gpuPeaks: map[string]*headroom.Peak{}}
}

// updateReservations aggregates the jobs that capacity is reserved for, and reports whether there
// are any.
func (c *Core) updateReservations() bool {
	window := peakWindowLeases * seconds(c.cfg.Params.Workers.LeaseS)
	jobs := func(yield func(*job.Job) bool) {
		for _, j := range c.jobs {
			if needsReservation(j) && !c.isOutgoing(j.ID) && !yield(j) {
				return
			}
		}
	}
	return c.scheduler.reservations.update(jobs, c.catalog, int64(c.now.Steady/window))
}

// needsReservation reports whether capacity is reserved for a job: the job needs GPUs or is a
// service, and is neither cancelled nor suspected.
func needsReservation(j *job.Job) bool {
	return (j.Need.GPUs > 0 || j.Kind == job.Service) && !j.Cancelled && !j.Suspected
}

// update aggregates jobs for the peak window with the given number, and reports whether there are
// any to reserve capacity for.
func (r *reservations) update(jobs iter.Seq[*job.Job], types catalog.Catalog, window int64) bool {
	gpuNeed := map[string]float64{}
	r.gpuSpotAllowed, r.services = map[string]bool{}, map[string]*serviceClass{}
	for j := range jobs {
		if j.Need.GPUs == 0 {
			r.addService(j)
			continue
		}
		if name := types.CheapestFor(&j.Spec); name != "" {
			perMachine := j.Need.FitCount(types.Capacity(name), job.MaxTasks)
			gpuNeed[name] += float64(j.Tasks-j.Done.Len()) / float64(perMachine)
			r.gpuSpotAllowed[name] = r.gpuSpotAllowed[name] || j.Spot
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

// gpuNeedTolerance absorbs rounding errors, so that a whole number of machines is not rounded up,
// regardless of the order of summation.
const gpuNeedTolerance = 1e-6

// updatePeaks records the number of machines of each type that GPU jobs currently need, and updates
// gpuMachines to the peaks.
func (r *reservations) updatePeaks(need map[string]float64, types catalog.Catalog, window int64) {
	r.gpuMachines = map[string]int{}
	for name := range types.All() {
		peak := r.gpuPeaks[name]
		if peak == nil {
			peak = &headroom.Peak{}
			r.gpuPeaks[name] = peak
		}
		peak.Observe(window, int(math.Ceil(need[name]-gpuNeedTolerance)))
		if peak.Max() > 0 {
			r.gpuMachines[name] = peak.Max()
		}
	}
}

// includes reports whether a machine was reserved in the latest round.
func (r *reservations) includes(machine string) bool { return r.hosts[machine] }

// apply marks the hosts that are reserved in this round, and returns the service demand for which
// no capacity could be reserved.
func (r *reservations) apply(hosts []*placement.Host, machines *worker.Registry) []scaling.Demand {
	r.hosts = map[string]bool{}
	for name, machines := range ordered(r.gpuMachines) {
		r.reserveForGPUs(name, machines, hosts)
	}
	var demand []scaling.Demand
	for _, class := range ordered(r.services) {
		if missing := r.reserveForServices(class, hosts, machines); missing > 0 {
			spec := *class.Spec
			spec.Spread = false // the tasks belong to several jobs
			demand = append(demand, scaling.Demand{Spec: &spec, Tasks: missing, Entitlement: scaling.Guaranteed})
		}
	}
	return demand
}

// reserveForGPUs reserves hosts of a type for GPU jobs: first those whose GPUs are in use, then those
// that other jobs use least. Without reservations, long-running tasks that need no GPUs would occupy
// the only machines on which gangs fit.
func (r *reservations) reserveForGPUs(typ string, machines int, hosts []*placement.Host) {
	var usable []*placement.Host
	for _, h := range hosts {
		if h.Type == typ && (!h.Spot || r.gpuSpotAllowed[typ]) {
			usable = append(usable, h)
		}
	}
	slices.SortStableFunc(usable, func(a, b *placement.Host) int {
		return cmp.Compare(nonGPUCPUs(a), nonGPUCPUs(b))
	})
	for _, h := range usable[:min(machines, len(usable))] {
		h.GPUOnly = true
		r.hosts[h.ID] = true
	}
}

// nonGPUCPUs is the number of CPUs of a host used by tasks without GPUs, or -1 if any of its GPUs
// are in use.
func nonGPUCPUs(h *placement.Host) float64 {
	if !job.AmountFits(h.Capacity.GPUs, h.Free.GPUs) {
		return -1
	}
	return h.Capacity.CPUs - h.Free.CPUs
}

// reserveForServices reserves capacity for the next service replicas of a class: for its headroom and
// for its replicas on hosts reserved for GPU jobs. For each of the class's images, enough of
// that capacity for the class's largest job is on hosts that cache the image, if there are any: a
// service replica has no time to fetch an image. Hosts occupied by arrays are reserved, and drained
// of them, only if there is too little free capacity. reserveForServices returns the number of
// service replicas for which there is no free capacity now.
func (r *reservations) reserveForServices(class *serviceClass, hosts []*placement.Host, machines *worker.Registry) int {
	wanted := class.Headroom() + serviceReplicasOnGPUHosts(class.Spec.Class, hosts, machines)
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

// reserveByImage reserves capacity for the largest job of a class on hosts that have each of its
// images.
func (r *reservations) reserveByImage(class *serviceClass, wanted int, hosts []serviceHost) {
	for _, image := range slices.Sorted(maps.Keys(class.images)) {
		withImage := slices.DeleteFunc(slices.Clone(hosts), func(h serviceHost) bool {
			return !h.Images.HasImage(image)
		})
		r.reserveSlots(min(class.Largest, wanted), withImage)
	}
}

// serviceReplicasOnGPUHosts counts the service replicas of a class on hosts reserved for GPU jobs.
// They need capacity elsewhere before they can be moved.
func serviceReplicasOnGPUHosts(class string, hosts []*placement.Host, machines *worker.Registry) int {
	serviceReplicas := 0
	for _, h := range hosts {
		load := machines.Load(h.ID)
		if !h.GPUOnly || load == nil {
			continue
		}
		for ref := range load.Tasks {
			if ref.Job.Class == class {
				serviceReplicas++
			}
		}
	}
	return serviceReplicas
}

// serviceHost is a host with capacity for service replicas, either now or once the arrays on it
// have ended. slots is the number of service replicas that fit.
type serviceHost struct {
	*placement.Host
	slots int
	// arrayMilliCPUs is the CPU used by the arrays that have to end first, in thousandths of a
	// CPU: unlike floating-point sums, integer sums do not depend on the order of addition.
	arrayMilliCPUs int
}

// serviceHosts lists the hosts on which capacity for services may be reserved, those with free
// capacity first.
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

// serviceHostOf computes the capacity for service replicas on a host.
func serviceHostOf(s *job.Spec, h *placement.Host, load *job.Load) serviceHost {
	out := serviceHost{Host: h, slots: h.MaxTasks(s)}
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
	out.slots = s.Need.FitCount(free, job.MaxTasks)
	return out
}

// reserveSlots reserves hosts for a number of service replicas, round-robin across zones, and
// returns how many of them remain without capacity. Hosts that are already reserved count. The
// tasks of arrays on a reserved host run to completion but are not replaced: the gap that each
// leaves is too small for a service replica, and new tasks would fill it again.
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
