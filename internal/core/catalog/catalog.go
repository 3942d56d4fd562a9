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
	"pepperlever/internal/protocol"
)

// minPricePerCPU replaces the price of free machines, so that ratios of prices are defined.
const minPricePerCPU = 1e-9

// Catalog holds machine types by name. The zero value is a catalog that has not been loaded.
type Catalog struct {
	types map[string]protocol.MachineType
	// names is sorted, so that all controllers visit the types in the same order.
	names []string
}

// New returns a catalog of the given machine types.
func New(types []protocol.MachineType) Catalog {
	c := Catalog{types: make(map[string]protocol.MachineType, len(types))}
	for _, t := range types {
		c.types[t.Name] = t
	}
	c.names = slices.Sorted(maps.Keys(c.types))
	return c
}

// Loaded reports whether the catalog has been loaded, even if it is empty.
func (c Catalog) Loaded() bool { return c.types != nil }

// All iterates over the types in the order of their names.
func (c Catalog) All() iter.Seq2[string, protocol.MachineType] {
	return func(yield func(string, protocol.MachineType) bool) {
		for _, name := range c.names {
			if !yield(name, c.types[name]) {
				return
			}
		}
	}
}

// Lookup returns a type, and whether the cloud offers it.
func (c Catalog) Lookup(name string) (protocol.MachineType, bool) {
	t, known := c.types[name]
	return t, known
}

// Capacity returns the resources of a machine of a type, or zero for an unknown type.
func (c Catalog) Capacity(name string) job.Resources { return Capacity(c.types[name]) }

// CacheGB returns the size of the image cache of a machine of a type.
func (c Catalog) CacheGB(name string) float64 { return c.types[name].CacheGB }

// BootTime returns the nominal boot time of a machine of a type.
func (c Catalog) BootTime(name string) time.Duration {
	return time.Duration(c.types[name].BootS * float64(time.Second))
}

// ShortestBootS returns the shortest nominal boot time of all types, in seconds, or infinity if
// there are none.
func (c Catalog) ShortestBootS() float64 {
	shortest := math.Inf(1)
	for _, t := range c.types {
		shortest = min(shortest, t.BootS)
	}
	return shortest
}

// LongestBootS returns the longest nominal boot time of all types, in seconds.
func (c Catalog) LongestBootS() float64 {
	longest := 0.0
	for _, t := range c.types {
		longest = max(longest, t.BootS)
	}
	return longest
}

// HasSpotDiscount reports whether spot machines of a type are cheaper than on-demand ones.
func (c Catalog) HasSpotDiscount(name string) bool {
	t := c.types[name]
	return t.SpotPrice < t.Price
}

// CheapestFor returns the type with the lowest on-demand price per task of a job, among the types
// that the job allows and that can hold a task, or "" if there is none.
func (c Catalog) CheapestFor(s *job.Spec) string {
	cheapest, leastPrice := "", math.Inf(1)
	for name, t := range c.All() {
		capacity := Capacity(t)
		if !s.Need.Fits(capacity) || s.Types != nil && !slices.Contains(s.Types, name) {
			continue
		}
		price := t.Price / float64(s.Need.FitCount(capacity, job.MaxTasks))
		if price < leastPrice {
			cheapest, leastPrice = name, price
		}
	}
	return cheapest
}

// Capacity returns the resources of a machine of a type.
func Capacity(t protocol.MachineType) job.Resources {
	return job.Resources{CPUs: t.CPUs, GPUs: t.GPUs, MemoryGB: t.MemoryGB}
}

// MachineKind is a machine type, either spot or on-demand.
type MachineKind struct {
	Type string
	Spot bool
}

// KindTraits holds the properties that all machines of a kind share.
type KindTraits struct {
	Capacity job.Resources
	// PricePremium is the relative excess of the price per CPU over the cheapest kind, at most 1.
	PricePremium float64
	// RelativeSize is the number of CPUs divided by that of the largest type.
	RelativeSize float64
	// GPUShare is the number of GPUs divided by that of the type with the most GPUs.
	GPUShare float64
}

// Kinds returns the traits of all kinds of machines.
func (c Catalog) Kinds() map[MachineKind]KindTraits {
	mostCPUs, mostGPUs, cheapest := 1.0, 1.0, math.Inf(1)
	for _, t := range c.types {
		mostCPUs, mostGPUs = max(mostCPUs, t.CPUs), max(mostGPUs, t.GPUs)
		cheapest = min(cheapest, pricePerCPU(t, true), pricePerCPU(t, false))
	}
	cheapest = max(cheapest, minPricePerCPU)
	kinds := make(map[MachineKind]KindTraits, 2*len(c.types))
	for name, t := range c.types {
		for _, spot := range []bool{true, false} {
			kinds[MachineKind{name, spot}] = KindTraits{
				Capacity:     Capacity(t),
				PricePremium: min(1, pricePerCPU(t, spot)/cheapest-1),
				RelativeSize: t.CPUs / mostCPUs,
				GPUShare:     t.GPUs / mostGPUs,
			}
		}
	}
	return kinds
}

// pricePerCPU returns the price per hour and CPU of a spot or an on-demand machine of a type.
func pricePerCPU(t protocol.MachineType, spot bool) float64 {
	if spot {
		return t.SpotPrice / max(t.CPUs, 1)
	}
	return t.Price / max(t.CPUs, 1)
}
