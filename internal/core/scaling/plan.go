// Package scaling decides which machines to rent for tasks that do not fit on the current ones.
package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/progress"
	"pepperlever/internal/protocol"
)

// largerTypePenalty is the factor by which the price of larger machines is raised in comparisons. At
// about the same price smaller machines are better: they leave the large ones to tasks that need
// them, and they become idle sooner.
const largerTypePenalty = 1.25

// Entitlement ranks demand by how expensive the machines may be that are rented for it.
type Entitlement uint8

// The entitlements, in ascending order.
const (
	// BestEffort demand uses existing or cheap machines only.
	BestEffort Entitlement = iota
	// Standard demand can wait.
	Standard
	// Guaranteed demand is within the guaranteed CPUs of its team.
	Guaranteed
	// AtRisk demand will be late unless it is placed soon.
	AtRisk
)

// Offer is a machine type, spot or on-demand, that the cloud may be able to provide in a zone.
type Offer struct {
	Type protocol.MachineType
	Zone string
	Spot bool
	// MinEntitlement is the lowest entitlement that may use the offer. It does not apply to jobs
	// that may not use spot machines.
	MinEntitlement Entitlement
}

// Price returns the current price per hour.
func (o Offer) Price() float64 {
	if o.Spot {
		return o.Type.SpotPrice
	}
	return o.Type.Price
}

// Capacity returns the resources of a machine of the offer.
func (o Offer) Capacity() job.Resources { return catalog.Capacity(o.Type) }

// pricePerCPU returns the current price per hour and CPU.
func (o Offer) pricePerCPU() float64 { return o.Price() / max(o.Type.CPUs, 1) }

// emptyHost returns a machine of the offer as a host without tasks.
func (o Offer) emptyHost() *placement.Host {
	capacity := o.Capacity()
	return &placement.Host{
		Type:       o.Type.Name,
		Zone:       o.Zone,
		Spot:       o.Spot,
		Free:       capacity,
		Capacity:   capacity,
		RemainingS: -1,
	}
}

// Demand is a number of identical tasks that could not be placed. Zones counts the bound tasks of
// their job by zone.
type Demand struct {
	Spec        *job.Spec
	Tasks       int
	Entitlement Entitlement
	Zones       placement.Zones
}

// mayUse reports whether machines of an offer may be rented for the demand.
func (d Demand) mayUse(o Offer) bool {
	if d.Spec.Spot && d.Entitlement < o.MinEntitlement {
		return false
	}
	return d.Spec.Allows(o.Type.Name, o.Zone, o.Spot) && d.Spec.Need.Fits(o.Capacity())
}

// Order is a request for a number of machines of an offer.
type Order struct {
	Offer Offer
	Count int
}

// Plan returns the machines to order for demand that the pending machines cannot hold, from the
// cheapest offers. Demand above BestEffort may also use the resources of preemptible hosts, where
// best-effort tasks can be preempted for it. At most limit machines of each offer are ordered. Each
// demand counts as a unit of work in finished.
func Plan(demands []Demand, pending, preemptible []*placement.Host, offers []Offer, limit int, finished *progress.Counter) []Order {
	p := planner{
		hosts:       slices.Clone(pending),
		preemptible: preemptible,
		offers:      offers,
		counts:      make([]int, len(offers)),
		limit:       limit,
	}
	for _, d := range byEntitlement(demands) {
		p.cover(d)
		finished.Advance()
	}
	return p.orders()
}

// planner plans orders for one demand after another.
type planner struct {
	// hosts are the pending machines and those ordered so far.
	hosts, preemptible []*placement.Host
	offers             []Offer
	// counts is the number of machines ordered of each offer; limit is its maximum.
	counts []int
	limit  int
}

// cover places a demand on the known hosts, and orders machines for the tasks that do not fit.
func (p *planner) cover(d Demand) {
	candidates := p.hosts
	if d.Entitlement > BestEffort {
		candidates = append(slices.Clip(candidates), preemptibleFor(d.Spec, p.preemptible)...)
	}
	constraint := p.chooseZone(d, candidates)
	remaining := d.Tasks
	picker := placement.NewPicker(d.Spec, constraint.filterHosts(candidates))
	for remaining > 0 {
		host := picker.Take(remaining, constraint.tasksByZone)
		if host == nil {
			break
		}
		remaining -= constraint.allocate(host, remaining)
	}
	for remaining > 0 {
		i := p.cheapestOffer(d, remaining, constraint)
		if i < 0 {
			return
		}
		p.counts[i]++
		host := p.offers[i].emptyHost()
		remaining -= constraint.allocate(host, remaining)
		p.hosts = append(p.hosts, host)
	}
}

// orders returns the orders, sorted by price per CPU. The rate of requests to the cloud is limited,
// so the last orders may not be sent. The machines ordered first then count as pending in the next
// plan, which therefore needs fewer expensive ones.
func (p *planner) orders() []Order {
	var orders []Order
	for i, n := range p.counts {
		if n > 0 {
			orders = append(orders, Order{p.offers[i], n})
		}
	}
	slices.SortStableFunc(orders, func(a, b Order) int {
		return cmp.Compare(a.Offer.pricePerCPU(), b.Offer.pricePerCPU())
	})
	return orders
}

// preemptibleFor returns the hosts on which tasks may be preempted for a job. A host does not count
// if preemption there would lose more work than one task of the job has in total, since nothing is
// preempted on it in that case. Services preempt regardless of the loss.
func preemptibleFor(s *job.Spec, hosts []*placement.Host) []*placement.Host {
	if s.Kind == job.Service {
		return hosts
	}
	work := s.Need.CPUs * s.EstimateS
	return slices.DeleteFunc(slices.Clone(hosts), func(h *placement.Host) bool {
		return max(h.PreemptionLoss, h.PreemptionLossPerCPU*s.Need.CPUs) > work
	})
}

// zoneConstraint limits the zones in which machines are used or rented for the tasks of a job. Even
// the cheapest machine is useless in a zone that may take no more tasks of the job, given where its
// other tasks are.
type zoneConstraint struct {
	spec *job.Spec
	// tasksByZone counts the bound and planned tasks of the job.
	tasksByZone placement.Zones
	// requiredZone, if set, is the zone that all tasks have to be in.
	requiredZone string
}

// chooseZone returns the zone constraint of a demand. If the tasks have to run together in one zone
// and none is bound yet, the constraint requires a zone: the cheapest of those that may hold all the
// tasks, or else the one that may hold the most.
func (p *planner) chooseZone(d Demand, hosts []*placement.Host) *zoneConstraint {
	constraint := &zoneConstraint{spec: d.Spec, tasksByZone: placement.Zones{}}
	maps.Copy(constraint.tasksByZone, d.Zones)
	if !d.Spec.OneZone || len(d.Zones) > 0 || d.Spec.MinConcurrency() == 1 {
		return constraint
	}
	capacity, price := p.capacityByZone(d, hosts), p.priceByZone(d)
	for _, zone := range slices.Sorted(maps.Keys(capacity)) {
		zoneCapacity, bestCapacity := min(capacity[zone], d.Tasks), min(capacity[constraint.requiredZone], d.Tasks)
		isCheaper := zoneCapacity == bestCapacity && price[zone] < price[constraint.requiredZone]
		if constraint.requiredZone == "" || zoneCapacity > bestCapacity || isCheaper {
			constraint.requiredZone = zone
		}
	}
	return constraint
}

// capacityByZone returns how many tasks of a demand may fit in each zone, on the hosts and on
// machines that may be rented.
func (p *planner) capacityByZone(d Demand, hosts []*placement.Host) map[string]int {
	capacity := map[string]int{}
	for _, h := range hosts {
		if placement.Feasible(d.Spec, h, nil) {
			capacity[h.Zone] += h.MaxTasks(d.Spec)
		}
	}
	for _, o := range p.offers {
		if d.mayUse(o) {
			capacity[o.Zone] += p.limit * placement.MaxTasksOnEmpty(d.Spec, o.Capacity())
		}
	}
	return capacity
}

// priceByZone returns the lowest price per CPU among the offers that a demand may use in each zone.
func (p *planner) priceByZone(d Demand) map[string]float64 {
	price := map[string]float64{}
	for _, o := range p.offers {
		if !d.mayUse(o) {
			continue
		}
		if lowest, priced := price[o.Zone]; !priced || o.pricePerCPU() < lowest {
			price[o.Zone] = o.pricePerCPU()
		}
	}
	return price
}

// allows reports whether one more task may be placed in a zone.
func (z *zoneConstraint) allows(zone string) bool {
	return (z.requiredZone == "" || zone == z.requiredZone) && placement.ZoneAllowed(z.spec, zone, z.tasksByZone)
}

// filterHosts returns the hosts in the required zone, or all hosts if none is required.
func (z *zoneConstraint) filterHosts(hosts []*placement.Host) []*placement.Host {
	if z.requiredZone == "" {
		return hosts
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h *placement.Host) bool { return h.Zone != z.requiredZone })
}

// allocate places as many of n identical tasks on a host as fit there and are allowed in its zone,
// and returns their number.
func (z *zoneConstraint) allocate(h *placement.Host, n int) int {
	n = min(n, h.MaxTasks(z.spec), placement.ZoneAllowance(z.spec, h.Zone, z.tasksByZone))
	h.AllocateTasks(z.spec, n)
	z.tasksByZone[h.Zone] += n
	return n
}

// byEntitlement sorts demand by descending entitlement. Otherwise demand with a low entitlement
// could take the pending machines, and expensive ones would be rented for demand with a high one.
// Among equals the largest tasks come first, so that small ones fill the gaps.
func byEntitlement(demands []Demand) []Demand {
	sorted := slices.Clone(demands)
	slices.SortStableFunc(sorted, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Entitlement, a.Entitlement), cmp.Compare(b.Spec.Need.CPUs, a.Spec.Need.CPUs))
	})
	return sorted
}

// cheapestOffer returns the index of the usable offer with the lowest price per task, or -1 if there
// is none. largerTypePenalty raises the price of types larger than the best one found so far.
func (p *planner) cheapestOffer(d Demand, tasks int, constraint *zoneConstraint) int {
	best, bestPrice := -1, math.Inf(1)
	for i, o := range p.offers {
		if p.counts[i] >= p.limit || !d.mayUse(o) || !constraint.allows(o.Zone) {
			continue
		}
		fit := min(placement.MaxTasksOnEmpty(d.Spec, o.Capacity()), max(tasks, 1))
		price := o.Price() / float64(fit)
		if best >= 0 && o.Type.CPUs > p.offers[best].Type.CPUs {
			price *= largerTypePenalty
		}
		if price < bestPrice {
			best, bestPrice = i, price
		}
	}
	return best
}
