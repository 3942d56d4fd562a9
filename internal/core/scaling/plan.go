// Package fleet decides which machines to rent.
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

// Offer is a kind of machine that the cloud may have.
type Offer struct {
	Type protocol.MachineType
	Zone string
	Spot bool
	// MinEntitlement is how strong a right demand needs to use the offer, unless it may
	// not use cheaper ones.
	MinEntitlement Entitlement
}

// Price is the current price per hour.
func (o Offer) Price() float64 {
	if o.Spot {
		return o.Type.SpotPrice
	}
	return o.Type.Price
}

func (o Offer) unitPrice() float64 { return o.Price() / max(o.Type.CPUs, 1) }

// Size is what a machine of the offer has.
func (o Offer) Size() job.Resources {
	return catalog.Capacity(o.Type)
}

// Demand is a number of like tasks that have no place. Zones counts the other tasks of
// their job by zone.
type Demand struct {
	Spec        *job.Spec
	Tasks       int
	Entitlement Entitlement
	Zones       placement.Zones
}

// Entitlement is demand's right to dear machines.
type Entitlement uint8

// Rights, the strongest last.
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

// Order asks for a number of machines of an offer.
type Order struct {
	Offer Offer
	Count int
}

// Plan covers demand with the machines that are already coming and then with
// the cheapest offers. Demand that is not idle may also have the room on yielding
// hosts, where idle work is stopped for it. Every offer in offers may be ordered
// up to limit times.
func Plan(demands []Demand, coming, yielding []*placement.Host, offers []Offer, limit int) []Order {
	hosts := slices.Clone(coming)
	counts := make([]int, len(offers))
	for _, d := range byEntitlement(demands) {
		room := hosts
		if d.Entitlement > BestEffort {
			room = append(slices.Clip(hosts), preemptibleFor(d.Spec, yielding)...)
		}
		at := chooseZone(d, room, offers, limit)
		left, picker := d.Tasks, placement.NewPicker(d.Spec, at.hostsIn(room))
		for left > 0 {
			h := picker.Next(left, at.zones)
			if h == nil {
				break
			}
			left -= at.fill(h, left)
		}
		for left > 0 {
			i := cheapestOffer(d, left, at, offers, counts, limit)
			if i < 0 {
				break
			}
			counts[i]++
			o := offers[i]
			h := &placement.Host{Type: o.Type.Name, Zone: o.Zone, Spot: o.Spot, Free: o.Size(), Capacity: o.Size(), RemainingS: -1}
			left -= at.fill(h, left)
			hosts = append(hosts, h)
		}
	}
	var out []Order
	for i, n := range counts {
		if n > 0 {
			out = append(out, Order{offers[i], n})
		}
	}
	// The cloud takes few requests: cheap machines are asked for first, and by
	// the next time they count, so that fewer dear ones are.
	slices.SortStableFunc(out, func(a, b Order) int { return byPrice(a.Offer, b.Offer) })
	return out
}

func byPrice(a, b Offer) int { return cmp.Compare(a.unitPrice(), b.unitPrice()) }

// preemptibleFor leaves out hosts on which more work would be lost than a task has: nothing is
// stopped there for it, and where their room counted none was rented either.
func preemptibleFor(s *job.Spec, hosts []*placement.Host) []*placement.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h *placement.Host) bool {
		return s.Kind != job.Service && max(h.PreemptionLoss, h.PreemptionLossPerCPU*s.Need.CPUs) > s.Need.CPUs*s.EstimateS
	})
}

// zoneChoice is where machines for the tasks of a job may be. Rented wherever they are cheapest
// they were of no use to a job whose other tasks are in another zone, or which is to be
// spread over two, and were returned and rented again for as long as it waited.
type zoneChoice struct {
	spec  *job.Spec
	zones placement.Zones
	// only, if set, is the zone for all of them.
	only string
}

// chooseZone finds the zone for tasks that have to be together and may still choose one:
// the cheapest that may have room for all, or else the one that may have most.
func chooseZone(d Demand, coming []*placement.Host, offers []Offer, limit int) *zoneChoice {
	p := &zoneChoice{spec: d.Spec, zones: placement.Zones{}}
	maps.Copy(p.zones, d.Zones)
	if !d.Spec.OneZone || len(d.Zones) > 0 || d.Spec.AtOnce() == 1 {
		return p
	}
	room, price := map[string]int{}, map[string]float64{}
	for _, h := range coming {
		if placement.Suits(d.Spec, h, nil) {
			room[h.Zone] += placement.FitCount(d.Spec.Need, h.Free)
		}
	}
	for _, o := range offers {
		if usable(d, o) {
			room[o.Zone] += limit * placement.FitCount(d.Spec.Need, o.Size())
			if least, priced := price[o.Zone]; !priced || o.unitPrice() < least {
				price[o.Zone] = o.unitPrice()
			}
		}
	}
	for _, zone := range slices.Sorted(maps.Keys(room)) {
		n, most := min(room[zone], d.Tasks), min(room[p.only], d.Tasks)
		if p.only == "" || n > most || n == most && price[zone] < price[p.only] {
			p.only = zone
		}
	}
	return p
}

// allows tells whether one more task may go to a zone.
func (p *zoneChoice) allows(zone string) bool {
	return (p.only == "" || zone == p.only) && placement.ZoneAllowed(p.spec, zone, p.zones)
}

// hostsIn leaves out the hosts of other zones than the only one.
func (p *zoneChoice) hostsIn(hosts []*placement.Host) []*placement.Host {
	if p.only == "" {
		return hosts
	}
	return slices.DeleteFunc(slices.Clone(hosts), func(h *placement.Host) bool { return h.Zone != p.only })
}

// fill puts as many of n like tasks on a host as it and its zone have room for.
func (p *zoneChoice) fill(h *placement.Host, n int) int {
	n = min(n, placement.FitCount(p.spec.Need, h.Free), placement.ZoneAllowance(p.spec, h.Zone, p.zones))
	h.Free = h.Free.Plus(p.spec.Need, -float64(n))
	p.zones[h.Zone] += n
	return n
}

// usable tells whether an offer's machines may be rented for a demand.
func usable(d Demand, o Offer) bool {
	return !(d.Spec.Spot && d.Entitlement < o.MinEntitlement) && d.Spec.Allows(o.Type.Name, o.Zone, o.Spot) && d.Spec.Need.Fits(o.Size())
}

// byEntitlement puts demand with the strongest right first, since it would have dear
// machines rented where others took the room that is coming; then the largest
// tasks, so that small ones fill the gaps.
func byEntitlement(demands []Demand) []Demand {
	out := slices.Clone(demands)
	slices.SortStableFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Entitlement, a.Entitlement), cmp.Compare(b.Spec.Need.CPUs, a.Spec.Need.CPUs))
	})
	return out
}

// cheapestOffer finds the offer with the least price per task.
func cheapestOffer(d Demand, tasks int, at *zoneChoice, offers []Offer, counts []int, limit int) int {
	s, best, bestPrice := d.Spec, -1, math.Inf(1)
	for i, o := range offers {
		if counts[i] >= limit || !usable(d, o) || !at.allows(o.Zone) {
			continue
		}
		price := o.Price() / float64(min(placement.FitCount(s.Need, o.Size()), max(tasks, 1)))
		// Of two offers of about the same price the smaller machine leaves the
		// large ones to tasks that need them, and empties sooner.
		if best >= 0 && o.Size().CPUs > offers[best].Size().CPUs {
			price *= 1.25
		}
		if price < bestPrice {
			best, bestPrice = i, price
		}
	}
	return best
}
