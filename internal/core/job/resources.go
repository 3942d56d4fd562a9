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
func (r Resources) Fits(free Resources) bool { return r.fitsTimes(1, free) }

// AtMost reports whether no amount of r is greater than that of other. Unlike Fits, it is exact: it compares
// two needs, neither of which is a sum.
func (r Resources) AtMost(other Resources) bool {
	return r.CPUs <= other.CPUs && r.GPUs <= other.GPUs && r.MemoryGB <= other.MemoryGB
}

// FitCount returns how many times r fits into the free resources, at most MaxTasks. It is at least 1
// exactly if r fits.
func (r Resources) FitCount(free Resources) int {
	return sort.Search(MaxTasks, func(n int) bool { return !r.fitsTimes(n+1, free) })
}

// fitsTimes reports whether r fits n times into the free resources.
func (r Resources) fitsTimes(n int, free Resources) bool {
	times := float64(n)
	return AmountFits(times*r.CPUs, free.CPUs) &&
		AmountFits(times*r.GPUs, free.GPUs) &&
		AmountFits(times*r.MemoryGB, free.MemoryGB)
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
