package core

import "pepperlever/internal/core/job"

// PendingTasks counts the tasks that wait, by what they wait for.
type PendingTasks struct {
	// Dependencies are those of jobs that await others.
	Dependencies int
	// TeamLimit are those that their team's limit holds back.
	TeamLimit int
	// Capacity are those that could be placed if there were room.
	Capacity int
}

// add counts the tasks of both.
func (p PendingTasks) add(other PendingTasks) PendingTasks {
	return PendingTasks{
		Dependencies: p.Dependencies + other.Dependencies,
		TeamLimit:    p.TeamLimit + other.TeamLimit,
		Capacity:     p.Capacity + other.Capacity,
	}
}

// pendingTasks counts the waiting tasks of the teams that this node leads, and those of all teams
// as this node plans for them.
func (c *Core) pendingTasks() (led, planned PendingTasks) {
	for _, t := range c.teams {
		pending := c.pendingTasksOf(t)
		planned = planned.add(pending)
		if t.leading {
			led = led.add(pending)
		}
	}
	return led, planned
}

// pendingTasksOf counts the waiting tasks of a team.
func (c *Core) pendingTasksOf(t *team) (pending PendingTasks) {
	used := t.usage()
	for _, j := range ordered(t.jobs) {
		if j.Blocked && !j.Cancelled {
			pending.Dependencies += j.Tasks
			continue
		}
		tasks := c.startAllowance(j)
		allowed := tasksWithinLimit(t, used, j.Need, tasks)
		used = used.Plus(j.Need, float64(allowed))
		pending.Capacity += allowed
		pending.TeamLimit += tasks - allowed
	}
	return pending
}

// tasksWithinLimit is how many of n tasks a team's limit leaves room for.
func tasksWithinLimit(t *team, used, need job.Resources, n int) (allowed int) {
	for allowed < n && withinLimit(t, used.Plus(need, float64(allowed+1))) {
		allowed++
	}
	return allowed
}
