// Package headroom says how much room is set aside for work that neither waits for a
// machine to boot nor gives its room back soon, and for work that fits nowhere else.
package headroom

import (
	"math"

	"pepperlever/internal/core/job"
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
	if c.Spec == nil || s.Accepted > c.Spec.Accepted || s.Accepted == c.Spec.Accepted && s.ID > c.Spec.ID {
		c.Spec = s
	}
	c.Largest = max(c.Largest, s.Tasks)
	c.Active += s.Tasks
}

// Headroom is for how many more tasks of a class of services room is kept: for two of its
// largest jobs at once, but no more than a quarter of what it has.
func (c *Class) Headroom() int {
	return min(2*c.Largest, int(math.Ceil(float64(c.Active)/4)))
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
