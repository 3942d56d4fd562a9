// Package scaling decides which machines to rent for demand that finds no room.
package scaling

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/protocol"
)

// largerTypePenalty makes the price of larger machines count for more: of two offers of about
// the same price the smaller machine leaves the large ones to tasks that need them, and empties
// sooner.
const largerTypePenalty = 1.25

// Entitlement is demand's right to expensive machines.
type Entitlement uint8

// Entitlements, the strongest last.
const (
	// BestEffort demand uses what is there or cheap.
	BestEffort Entitlement = iota
	// Standard demand may wait.
	Standard
	// Guaranteed demand is within the guarantee of its team.
	Guaranteed
	// AtRisk demand will be late unless it finds room soon.
	AtRisk
)

// Offer is a kind of machine that the cloud may have.
type Offer struct {
	Type protocol.MachineType
	Zone string
	Spot bool
	// MinEntitlement is what demand needs to use the offer, unless it may not use cheaper ones.
	MinEntitlement Entitlement
}

// Price is the current price per hour.
func (o Offer) Price() float64 {
	if o.Spot {
		return o.Type.SpotPrice
	}
	return o.Type.Price
}

// Capacity is what a machine of the offer has.
func (o Offer) Capacity() job.Resources { return catalog.Capacity(o.Type) }

// pricePerCPU is the current price of a CPU per hour.
func (o Offer) pricePerCPU() float64 { return o.Price() / max(o.Type.CPUs, 1) }

// machine is a machine of the offer with nothing on it.
func (o Offer) machine() *placement.Host {
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

// Demand is a number of like tasks that have no place. Zones counts the other tasks of their
// job by zone.
type Demand struct {
	Spec        *job.Spec
	Tasks       int
	Entitlement Entitlement
	Zones       placement.Zones
}

// mayUse tells whether an offer's machines may be rented for the demand.
func (d Demand) mayUse(o Offer) bool {
	if d.Spec.Spot && d.Entitlement < o.MinEntitlement {
		return false
	}
	return d.Spec.Allows(o.Type.Name, o.Zone, o.Spot) && d.Spec.Need.Fits(o.Capacity())
}

// Order asks for a number of machines of an offer.
type Order struct {
	Offer Offer
	Count int
}

// Plan covers demand with the machines that are already pending and then with the cheapest
// offers. Demand that is not best effort may also have the room on preemptible hosts, where
// best-effort work is stopped for it. Every offer may be ordered up to limit times.
func Plan(demands []Demand, pending, preemptible []*placement.Host, offers []Offer, limit int) []Order {
	p := planner{
		hosts:       slices.Clone(pending),
		preemptible: preemptible,
		offers:      offers,
		counts:      make([]int, len(offers)),
		limit:       limit,
	}
	for _, d := range byEntitlement(demands) {
		p.cover(d)
	}
	return p.orders()
}

// planner works out orders for one demand after the other.
type planner struct {
	// hosts are the machines that are pending or ordered.
	hosts, preemptible []*placement.Host
	offers             []Offer
	// counts is how many machines of each offer are ordered, of which there may be limit.
	counts []int
	limit  int
}

// cover finds room for a demand, and orders machines for what finds none.
func (p *planner) cover(d Demand) {
	room := p.hosts
	if d.Entitlement > BestEffort {
		room = append(slices.Clip(room), preemptibleFor(d.Spec, p.preemptible)...)
	}
	zones := p.chooseZone(d, room)
	left := d.Tasks
	picker := placement.NewPicker(d.Spec, zones.hostsIn(room))
	for left > 0 {
		host := picker.Next(left, zones.tasks)
		if host == nil {
			break
		}
		left -= zones.fill(host, left)
	}
	for left > 0 {
		i := p.cheapestOffer(d, left, zones)
		if i < 0 {
			return
		}
		p.counts[i]++
		host := p.offers[i].machine()
		left -= zones.fill(host, left)
		p.hosts = append(p.hosts, host)
	}
}

// orders lists what is ordered, the cheapest machines first: the cloud takes few requests, and
// by the next time the machines count, so that fewer expensive ones are asked for.
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

// preemptibleFor leaves out hosts on which more work would be lost than a task has: nothing is
// stopped there for it, so their room must not count.
func preemptibleFor(s *job.Spec, hosts []*placement.Host) []*placement.Host {
	if s.Kind == job.Service {
		return hosts
	}
	work := s.Need.CPUs * s.EstimateS
	return slices.DeleteFunc(slices.Clone(hosts), func(h *placement.Host) bool {
		return max(h.PreemptionLoss, h.PreemptionLossPerCPU*s.Need.CPUs) > work
	})
}

// zoneChoice is where machines for the tasks of a job may be. Machines of another zone than
// the job's other tasks may be of no use to it, however cheap they are.
type zoneChoice struct {
	spec *job.Spec
	// tasks counts the tasks of the job by zone.
	tasks placement.Zones
	// only, if set, is the zone for all of them.
	only string
}

// chooseZone finds the zone for tasks that have to be together and may still choose one: the
// cheapest that may have room for all, or else the one that may have most.
func (p *planner) chooseZone(d Demand, hosts []*placement.Host) *zoneChoice {
	choice := &zoneChoice{spec: d.Spec, tasks: placement.Zones{}}
	maps.Copy(choice.tasks, d.Zones)
	if !d.Spec.OneZone || len(d.Zones) > 0 || d.Spec.MinConcurrency() == 1 {
		return choice
	}
	room, price := p.roomByZone(d, hosts), p.priceByZone(d)
	for _, zone := range slices.Sorted(maps.Keys(room)) {
		here, most := min(room[zone], d.Tasks), min(room[choice.only], d.Tasks)
		isCheaper := here == most && price[zone] < price[choice.only]
		if choice.only == "" || here > most || isCheaper {
			choice.only = zone
		}
	}
	return choice
}

// roomByZone is how many tasks of a demand may have room in each zone, on hosts and machines
// that may be rented.
func (p *planner) roomByZone(d Demand, hosts []*placement.Host) map[string]int {
	room := map[string]int{}
	for _, h := range hosts {
		if placement.Suits(d.Spec, h, nil) {
			room[h.Zone] += placement.FitCount(d.Spec.Need, h.Free)
		}
	}
	for _, o := range p.offers {
		if d.mayUse(o) {
			room[o.Zone] += p.limit * placement.FitCount(d.Spec.Need, o.Capacity())
		}
	}
	return room
}

// priceByZone is the least price of a CPU that a demand may use in each zone.
func (p *planner) priceByZone(d Demand) map[string]float64 {
	price := map[string]float64{}
	for _, o := range p.offers {
		if !d.mayUse(o) {
			continue
		}
		if least, priced := price[o.Zone]; !priced || o.pricePerCPU() < least {
			price[o.Zone] = o.pricePerCPU()
		}
	}
	return price
}

// allows tells whether one more task may go to a zone.
func (z *zoneChoice) allows(zone string) bool {
	return (z.only == "" || zone == z.only) && placement.ZoneAllowed(z.spec, zone, z.tasks)
}

// hostsIn leaves out the hosts of other zones than the only one.
func (z *zoneChoice) hostsIn(hosts []*placement.Host) []*placement.Host {
	if z.only == "" {
		return hosts
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h *placement.Host) bool { return h.Zone != z.only })
}

// fill puts as many of n like tasks on a host as it and its zone have room for.
func (z *zoneChoice) fill(h *placement.Host, n int) int {
	n = min(n, placement.FitCount(z.spec.Need, h.Free), placement.ZoneAllowance(z.spec, h.Zone, z.tasks))
	h.Free = h.Free.Plus(z.spec.Need, -float64(n))
	z.tasks[h.Zone] += n
	return n
}

// byEntitlement puts demand with the strongest entitlement first, since it would have expensive
// machines rented where others took the room that is pending; then the largest tasks, so that
// small ones fill the gaps.
func byEntitlement(demands []Demand) []Demand {
	sorted := slices.Clone(demands)
	slices.SortStableFunc(sorted, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Entitlement, a.Entitlement), cmp.Compare(b.Spec.Need.CPUs, a.Spec.Need.CPUs))
	})
	return sorted
}

// cheapestOffer finds the offer with the least price per task, or -1 when there is none.
func (p *planner) cheapestOffer(d Demand, tasks int, zones *zoneChoice) int {
	best, bestPrice := -1, math.Inf(1)
	for i, o := range p.offers {
		if p.counts[i] >= p.limit || !d.mayUse(o) || !zones.allows(o.Zone) {
			continue
		}
		fit := min(placement.FitCount(d.Spec.Need, o.Capacity()), max(tasks, 1))
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
