package core

import "pepperlever/internal/core/job"

// Counts are what this controller has done since it started.
type Counts struct {
	// Cascades is how many jobs were cancelled with one that they await.
	Cascades int
	// Splits is how many stored jobs were divided into smaller chunks.
	Splits int
	// Oversized is how many transactions the state service called malformed or too large.
	Oversized int
}

// Waiting counts the tasks that wait, by what they wait for.
type Waiting struct {
	// Awaits are those of jobs that await others, Limit those that their team's limit
	// holds back, Room those that could be placed if there were room.
	Awaits, Limit, Room int
}

// waiting counts the waiting tasks of the teams that this node is home of.
func (c *Core) waiting() (w Waiting) {
	for _, t := range c.teams {
		if !t.leading {
			continue
		}
		used := t.usage()
		for _, j := range ordered(t.jobs) {
			if j.Awaiting && !j.Cancelled {
				w.Awaits += j.Tasks
				continue
			}
			waits := c.startAllowance(j)
			fit := fitsLimit(t, used, j, waits)
			used = used.Plus(j.Need, float64(fit))
			w.Room += fit
			w.Limit += waits - fit
		}
	}
	return w
}

// fitsLimit is how many of n tasks of a job its team's limit leaves room for.
func fitsLimit(t *team, used job.Resources, j *job.Job, n int) (fit int) {
	for fit < n && withinLimit(t, used.Plus(j.Need, float64(fit+1))) {
		fit++
	}
	return fit
}
