// Package catalog holds the machine types that the cloud offers, with their capacity and
// prices.
package catalog

import (
	"iter"
	"maps"
	"math"
	"slices"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/protocol"
)

// minPricePerCPU stands in for the price of machines that cost nothing, so that prices can
// be compared as ratios.
const minPricePerCPU = 1e-9

// Catalog lists machine types by name. The zero value is a catalog that has not been read.
type Catalog struct {
	types map[string]protocol.MachineType
	// names are in order, so that all controllers visit the types alike.
	names []string
}

// New makes a catalog of machine types.
func New(types []protocol.MachineType) Catalog {
	c := Catalog{types: make(map[string]protocol.MachineType, len(types))}
	for _, t := range types {
		c.types[t.Name] = t
	}
	c.names = slices.Sorted(maps.Keys(c.types))
	return c
}

// Loaded tells whether the catalog has been read.
func (c Catalog) Loaded() bool { return c.types != nil }

// All visits the types in the order of their names.
func (c Catalog) All() iter.Seq2[string, protocol.MachineType] {
	return func(yield func(string, protocol.MachineType) bool) {
		for _, name := range c.names {
			if !yield(name, c.types[name]) {
				return
			}
		}
	}
}

// Lookup finds a type, and tells whether the cloud offers it.
func (c Catalog) Lookup(name string) (protocol.MachineType, bool) {
	t, known := c.types[name]
	return t, known
}

// Capacity is what a machine of a type has, nothing for an unknown type.
func (c Catalog) Capacity(name string) job.Resources { return Capacity(c.types[name]) }

// CacheGB is the size of the image cache of a machine of a type.
func (c Catalog) CacheGB(name string) float64 { return c.types[name].CacheGB }

// BootTime is the nominal boot time of a machine of a type.
func (c Catalog) BootTime(name string) time.Duration {
	return time.Duration(c.types[name].BootS * float64(time.Second))
}

// ShortestBootS is the shortest nominal boot time of any type, in seconds.
func (c Catalog) ShortestBootS() float64 {
	shortest := math.Inf(1)
	for _, t := range c.types {
		shortest = min(shortest, t.BootS)
	}
	return shortest
}

// LongestBootS is the longest nominal boot time of any type, in seconds.
func (c Catalog) LongestBootS() float64 {
	longest := 0.0
	for _, t := range c.types {
		longest = max(longest, t.BootS)
	}
	return longest
}

// HasSpotDiscount tells whether spot machines of a type cost less than ordinary ones.
func (c Catalog) HasSpotDiscount(name string) bool {
	t := c.types[name]
	return t.SpotPrice < t.Price
}

// CheapestFor is the type on which a task of a job costs least, of those that may hold one,
// or "" when none does.
func (c Catalog) CheapestFor(s *job.Spec) string {
	cheapest, leastPrice := "", math.Inf(1)
	for name, t := range c.All() {
		capacity := Capacity(t)
		if !s.Need.Fits(capacity) || s.Types != nil && !slices.Contains(s.Types, name) {
			continue
		}
		price := t.Price / float64(placement.FitCount(s.Need, capacity))
		if price < leastPrice {
			cheapest, leastPrice = name, price
		}
	}
	return cheapest
}

// Capacity is what a machine of a type has.
func Capacity(t protocol.MachineType) job.Resources {
	return job.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// Kind is a type of machines, spot or ordinary.
type Kind struct {
	Type string
	Spot bool
}

// KindTraits is what all machines of one kind have in common.
type KindTraits struct {
	Capacity job.Resources
	// PricePremium is the price of a CPU beyond that of the cheapest kind, up to 1.
	PricePremium float64
	// RelativeSize is the number of CPUs relative to the largest type.
	RelativeSize float64
	// GPUShare is the number of accelerators relative to the type that has most.
	GPUShare float64
}

// Kinds describes all kinds of machines.
func (c Catalog) Kinds() map[Kind]KindTraits {
	mostCPUs, mostGPUs, cheapest := 1.0, 1.0, math.Inf(1)
	for _, t := range c.types {
		mostCPUs, mostGPUs = max(mostCPUs, t.CPUs), max(mostGPUs, t.GPUs)
		cheapest = min(cheapest, pricePerCPU(t, true), pricePerCPU(t, false))
	}
	cheapest = max(cheapest, minPricePerCPU)
	out := make(map[Kind]KindTraits, 2*len(c.types))
	for name, t := range c.types {
		for _, spot := range []bool{true, false} {
			out[Kind{name, spot}] = KindTraits{
				Capacity:     Capacity(t),
				PricePremium: min(1, pricePerCPU(t, spot)/cheapest-1),
				RelativeSize: t.CPUs / mostCPUs,
				GPUShare:     t.GPUs / mostGPUs,
			}
		}
	}
	return out
}

// pricePerCPU is the nominal price per hour of a CPU on a kind of machine.
func pricePerCPU(t protocol.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice / max(t.CPUs, 1)
	}
	return t.Price / max(t.CPUs, 1)
}
