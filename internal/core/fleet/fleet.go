// Package fleet decides which machines to rent.
package fleet

import (
	"cmp"
	"math"
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/protocol"
)

// Offer is a kind of machine that the cloud may have.
type Offer struct {
	Type protocol.MachineType
	Zone string
	Spot bool
	// Dear is how strong a right demand needs to use the offer, unless it may
	// not use cheaper ones.
	Dear Right
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
	return job.Resources{CPUs: o.Type.CPUs, GPUs: o.Type.GPUs, MemoryGB: o.Type.MemoryGB}
}

// Demand is a number of like tasks that have no place.
type Demand struct {
	Spec  *job.Spec
	Tasks int
	Right Right
}

// Right is demand's right to dear machines.
type Right uint8

// Rights, the strongest last.
const (
	// Idle demand uses what is there or cheap.
	Idle Right = iota
	// Plain demand may wait.
	Plain
	// Guaranteed demand is within the guarantee of its team.
	Guaranteed
	// Pressed demand will be late unless it finds room soon.
	Pressed
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
	for _, d := range inOrder(demands) {
		room := hosts
		if d.Right > Idle {
			room = append(slices.Clip(hosts), yielding...)
		}
		left, picker := d.Tasks, placement.NewPicker(d.Spec, room)
		for left > 0 {
			h := picker.Next(left, nil)
			if h == nil {
				break
			}
			left -= fill(d.Spec, h, left)
		}
		for left > 0 {
			i := cheapest(d, left, offers, counts, limit)
			if i < 0 {
				break
			}
			counts[i]++
			o := offers[i]
			h := &placement.Host{Type: o.Type.Name, Zone: o.Zone, Spot: o.Spot, Room: o.Size(), Size: o.Size(), Lasts: -1}
			left -= fill(d.Spec, h, left)
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

// fill puts as many of n like tasks on a host as it has room for.
func fill(s *job.Spec, h *placement.Host, n int) int {
	n = min(n, placement.Fit(s.Need, h.Room))
	h.Room = h.Room.Plus(s.Need, -float64(n))
	return n
}

// inOrder puts demand with the strongest right first, since it would have dear
// machines rented where others took the room that is coming; then the largest
// tasks, so that small ones fill the gaps.
func inOrder(demands []Demand) []Demand {
	out := slices.Clone(demands)
	slices.SortStableFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Right, a.Right), cmp.Compare(b.Spec.Need.CPUs, a.Spec.Need.CPUs))
	})
	return out
}

// cheapest finds the offer with the least price per task.
func cheapest(d Demand, tasks int, offers []Offer, counts []int, limit int) int {
	s, best, bestPrice := d.Spec, -1, math.Inf(1)
	for i, o := range offers {
		if counts[i] >= limit || s.Spot && d.Right < o.Dear || !s.Allows(o.Type.Name, o.Zone, o.Spot) || !s.Need.Fits(o.Size()) {
			continue
		}
		price := o.Price() / float64(min(placement.Fit(s.Need, o.Size()), max(tasks, 1)))
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
