// Package headroom computes how much capacity to reserve: for services, which cannot wait for a
// machine to boot and occupy their resources for a long time, and for tasks that need GPUs, which fit
// only on machines that have them.
package headroom

import (
	"cmp"
	"math"

	"pepperlever/internal/core/job"
)

const (
	// headroomJobs is the number of jobs, each as large as the largest, that a class has headroom for.
	headroomJobs = 2
	// activeDivisor divides the number of active tasks to give the maximum headroom.
	activeDivisor = 4
)

// Class aggregates the jobs of one class that have not reached a final state.
type Class struct {
	// Spec is the spec of the newest job.
	Spec *job.Spec
	// Largest is the highest number of tasks of a single job. Active is the total number of
	// tasks of all jobs.
	Largest, Active int
}

// Add adds a job to the class.
func (c *Class) Add(s *job.Spec) {
	isNewer := func(other *job.Spec) bool {
		return cmp.Or(cmp.Compare(s.Accepted, other.Accepted), cmp.Compare(s.ID, other.ID)) > 0
	}
	if c.Spec == nil || isNewer(c.Spec) {
		c.Spec = s
	}
	c.Largest = max(c.Largest, s.Tasks)
	c.Active += s.Tasks
}

// Headroom returns the number of additional tasks that capacity is reserved for: enough for two
// jobs as large as the largest, but at most a quarter of the active tasks, rounded up.
func (c *Class) Headroom() int {
	return min(headroomJobs*c.Largest, int(math.Ceil(float64(c.Active)/activeDivisor)))
}

// Peak tracks the maximum of a value over the current and the previous time window.
type Peak struct {
	window            int64
	current, previous int
}

// Observe records a value in the window with the given number, which never decreases.
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

// Max returns the maximum over the current and the previous window.
func (p *Peak) Max() int { return max(p.current, p.previous) }
