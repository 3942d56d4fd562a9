package job

import (
	"math"
	"sort"
)

// Resources is an amount of each resource that a task requests or a machine provides.
type Resources struct {
	CPUs     float64 `json:"c"`
	GPUs     float64 `json:"g,omitempty"`
	MemoryGB float64 `json:"m"`
}

// roundingTolerance absorbs floating-point rounding errors in sums of resource amounts.
const roundingTolerance = 1e-6

// AmountFits reports whether an amount of one resource fits into what is available. Every comparison
// of a need with what is free, guaranteed or allowed goes through it.
func AmountFits(amount, available float64) bool { return amount <= available+roundingTolerance }

// Fits reports whether r fits into the free resources.
func (r Resources) Fits(free Resources) bool {
	return AmountFits(r.CPUs, free.CPUs) && AmountFits(r.GPUs, free.GPUs) && AmountFits(r.MemoryGB, free.MemoryGB)
}

// FitCount returns how many times r fits into the free resources, up to the limit. It is at least 1 exactly
// if r fits.
func (r Resources) FitCount(free Resources, limit int) int {
	return sort.Search(limit, func(n int) bool { return !r.Times(n + 1).Fits(free) })
}

// AtMost reports whether no amount of r is greater than that of other. Unlike Fits, it is exact: it compares
// two needs, neither of which is a sum.
func (r Resources) AtMost(other Resources) bool {
	return r.CPUs <= other.CPUs && r.GPUs <= other.GPUs && r.MemoryGB <= other.MemoryGB
}

// Times returns n times r.
func (r Resources) Times(n int) Resources {
	factor := float64(n)
	return Resources{CPUs: factor * r.CPUs, GPUs: factor * r.GPUs, MemoryGB: factor * r.MemoryGB}
}

// Plus returns r plus factor times other.
func (r Resources) Plus(other Resources, factor float64) Resources {
	return Resources{
		CPUs:     r.CPUs + factor*other.CPUs,
		GPUs:     r.GPUs + factor*other.GPUs,
		MemoryGB: r.MemoryGB + factor*other.MemoryGB,
	}
}

// Unlimited is more than any amount of a resource.
var Unlimited = math.Inf(1)
