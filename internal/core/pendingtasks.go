package core

// PendingTasks counts pending tasks by what they wait for.
type PendingTasks struct {
	// Dependencies counts the tasks of jobs that are blocked by dependencies.
	Dependencies int
	// TeamLimit counts the tasks that exceed their team's limit.
	TeamLimit int
	// Capacity counts the tasks that only wait for capacity on machines.
	Capacity int
}

// add returns the sum of two counts.
func (p PendingTasks) add(other PendingTasks) PendingTasks {
	return PendingTasks{
		Dependencies: p.Dependencies + other.Dependencies,
		TeamLimit:    p.TeamLimit + other.TeamLimit,
		Capacity:     p.Capacity + other.Capacity,
	}
}

// pendingTasks counts the pending tasks of the teams that this node leads, and those of all teams
// in this node's plan.
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

// pendingTasksOf counts the pending tasks of a team.
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
