// Package headroom says how much room is reserved for work that neither waits for a machine to
// boot nor gives its room back soon, and for work that fits nowhere else.
package headroom

import (
	"cmp"
	"math"

	"pepperlever/internal/core/job"
)

const (
	// largestJobs is for how many of its largest jobs a class has headroom.
	largestJobs = 2
	// activeDivisor is the part of the active tasks that headroom may not exceed.
	activeDivisor = 4
)

// Class sums up the jobs of one class that are not final.
type Class struct {
	// Spec is that of its newest job.
	Spec *job.Spec
	// Largest is the most tasks that one of its jobs has, Active how many tasks all of
	// them have together.
	Largest, Active int
}

// Add counts one more job of the class.
func (c *Class) Add(s *job.Spec) {
	isNewer := func(than *job.Spec) bool {
		return cmp.Or(cmp.Compare(s.Accepted, than.Accepted), cmp.Compare(s.ID, than.ID)) > 0
	}
	if c.Spec == nil || isNewer(c.Spec) {
		c.Spec = s
	}
	c.Largest = max(c.Largest, s.Tasks)
	c.Active += s.Tasks
}

// Headroom is for how many more tasks of a class of services room is reserved: for two of its
// largest jobs at once, but no more than a quarter of what it has.
func (c *Class) Headroom() int {
	return min(largestJobs*c.Largest, int(math.Ceil(float64(c.Active)/activeDivisor)))
}

// Peak is the most that was noted in a sliding time of one to two windows.
type Peak struct {
	window            int64
	current, previous int
}

// Observe takes a figure of the window with this number, which never falls.
func (p *Peak) Observe(window int64, n int) {
	switch {
	case window == p.window+1:
		p.previous, p.current = p.current, 0
	case window > p.window:
		p.previous, p.current = 0, 0
	}
	p.window = max(p.window, window)
	p.current = max(p.current, n)
}

// Max is the most that was noted.
func (p *Peak) Max() int { return max(p.current, p.previous) }
