package core

import (
	"cmp"
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// victim is a running task that may be stopped, and the work that this loses.
type victim struct {
	job     *job.Job
	index   int
	binding *job.Binding
	loss    float64
}

// preempt makes room for jobs that found none, where the users' rules allow it:
// for a higher priority, or for a team within its guarantee at the cost of one
// above its own. It stops only as little work as it makes room for.
func (c *Core) preempt(hosts []*placement.Host) {
	for _, j := range c.sched.starved {
		patience := c.reportInterval()
		if j.Kind == job.Gang || c.now.Steady-j.WaitingSince < patience || c.now.Steady-j.PreemptedAt < patience {
			continue
		}
		best, least := []victim(nil), j.Need.CPUs*j.EstimateS
		for _, h := range hosts {
			if m := c.machines[h.ID]; m != nil && h.Lasts < 0 && j.Allows(h.Type, h.Zone, h.Spot) && j.Need.Fits(h.Size) {
				if out, loss := c.victims(j, h, m); out != nil && loss < least {
					best, least = out, loss
				}
			}
		}
		for _, v := range best {
			j.PreemptedAt = c.now.Steady
			c.log(Info, "task stopped to make room", "task", v.job.TaskID(v.index), "machine", v.binding.Machine, "for", j.ID)
			c.sendStop(v.job, v.index, v.binding, v.job.SaveS)
		}
	}
}

// victims lists the tasks on a machine that would have to be stopped for one
// task of j, those with the least loss first, or nil when that is not enough.
func (c *Core) victims(j *job.Job, h *placement.Host, m *worker.Machine) ([]victim, float64) {
	var all []victim
	for _, t := range m.Tasks {
		id, i, _ := job.SplitTask(t.Task)
		v := c.jobs[id]
		if v == nil || t.State != protocol.Running || v.Kind != job.Array || !c.mayStop(j, v) {
			continue
		}
		if b := v.Bound[i]; b != nil && b.Attempt == t.Attempt && !b.Stopping {
			loss := v.Need.CPUs * m.Ran(t.Task, t.Attempt, c.now.Steady).Seconds()
			if v.CheckpointS > 0 {
				loss = v.Need.CPUs * v.SaveS
			}
			all = append(all, victim{v, i, b, loss})
		}
	}
	slices.SortFunc(all, func(a, b victim) int { return cmp.Compare(a.loss, b.loss) })
	room, sum := h.Room, 0.0
	for n, v := range all {
		room, sum = room.Plus(v.job.Need, 1), sum+v.loss
		if j.Need.Fits(room) {
			return all[:n+1], sum
		}
	}
	return nil, 0
}

// mayStop is the users' rule on preemption.
func (c *Core) mayStop(j, v *job.Job) bool {
	if v.Priority > j.Priority {
		return true
	}
	mine, theirs := c.teamBy[j.Team], c.teamBy[v.Team]
	return mine != theirs && c.used(mine).CPUs+j.Need.CPUs <= mine.CPUs && c.used(theirs).CPUs > theirs.CPUs
}
