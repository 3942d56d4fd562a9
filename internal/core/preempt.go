package core

import (
	"cmp"
	"math"
	"slices"
	"time"

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

// preempt makes room for jobs that found none, where the users' rules allow it.
// Work of the lowest priority always yields: it is for idle time, and its long
// tasks would hold the large machines that others wait for. So do arrays to services of
// higher priority, which wait for nothing else and stay. Any other is stopped
// only where the operator asks for it. No more work is lost than room is made for.
func (c *Core) preempt(hosts []*placement.Host) {
	idle := c.isPreemptible(hosts, func(v *job.Job) bool { return c.policy.Preemption || lowest(v) })
	var arrays []*placement.Host // for services
	if slices.ContainsFunc(c.scheduler.starved, func(j *job.Job) bool { return j.Kind == job.Service }) {
		arrays = c.isPreemptible(hosts, func(v *job.Job) bool { return v.Kind == job.Array && !v.AboveNormal() })
	}
	for _, j := range c.scheduler.starved {
		from := &idle
		if j.Kind == job.Service {
			from = &arrays
		}
		waits := j.Kind != job.Service && c.now.Steady-j.WaitingSince < c.patience(j)
		if j.Kind == job.Gang || waits || j.PreemptedAt > 0 && c.now.Steady-j.PreemptedAt < c.patience(j) {
			continue
		}
		taken := map[*placement.Host]bool{}
		for _, o := range c.cheapest(j, *from) {
			taken[o.host] = true
			for _, v := range o.victims {
				c.log(Debug, "task stopped to make room", "task", v.job.TaskID(v.index), "machine", v.binding.Machine, "for", j.ID)
				v.binding.StopSent = c.now.Steady
				c.sendStop(v.job, v.index, v.binding, v.job.SaveS)
			}
		}
		if len(taken) > 0 || j.Kind == job.Service {
			j.PreemptedAt = c.now.Steady
		}
		gone := func(h *placement.Host) bool { return taken[h] }
		idle, arrays = slices.DeleteFunc(idle, gone), slices.DeleteFunc(arrays, gone)
	}
}

// patience is how long a job waits before room is made for it, or more of it: urgent
// ones as long as it takes to hear what has ended meanwhile. For services the first is
// made at once.
func (c *Core) patience(j *job.Job) time.Duration {
	if j.AboveNormal() {
		return c.reportInterval() / 6
	}
	return c.reportInterval()
}

// isPreemptible lists the hosts that stay and have work on them that may be stopped.
func (c *Core) isPreemptible(hosts []*placement.Host, may func(*job.Job) bool) []*placement.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h *placement.Host) bool { return h.RemainingS >= 0 || !c.machines.HasBindingsOf(h.ID, may) })
}

// preemptibleLoad lists the machines with work for idle time, with the room there would
// be without it and what stopping it loses. Other work takes that room; machines rented for
// it would stand idle when they come.
func (c *Core) preemptibleLoad() []*placement.Host {
	var out []*placement.Host
	for id, m := range c.machines.All() {
		on := c.machines.Load(id)
		if on == nil || m.ReclaimAt > 0 || !c.isSchedulable(m) {
			continue
		}
		idle, least, perCPU := job.Resources{}, math.Inf(1), math.Inf(1)
		for ref, b := range on.Tasks {
			if lowest(ref.Job) {
				idle = idle.Plus(ref.Job.Need, 1)
				loss := c.loss(ref.Job, m, ref.Job.TaskID(ref.Index), b.Attempt)
				least, perCPU = min(least, loss), min(perCPU, loss/max(ref.Job.Need.CPUs, 1e-3))
			}
		}
		if idle.CPUs > 0 {
			size := c.catalog.Capacity(m.Type)
			out = append(out, &placement.Host{ID: id, Type: m.Type, Zone: m.Zone, Spot: m.Spot, Capacity: size, RemainingS: -1,
				Free: size.Plus(c.machines.UsedResources(m), -1).Plus(idle, 1), PreemptionLoss: least, PreemptionLossPerCPU: perCPU})
		}
	}
	return out
}

// opening is a host on which room can be made for one task, and what that takes.
type opening struct {
	host    *placement.Host
	victims []victim
	loss    float64
}

// cheapest finds the hosts where room for the waiting tasks of j costs the least work,
// no more of them in a zone than may be there. For services a few times as many hosts of
// each zone are weighed as are needed, not all of a large fleet for each of many jobs.
func (c *Core) cheapest(j *job.Job, hosts []*placement.Host) []opening {
	most, weighed := j.Need.CPUs*j.EstimateS, math.MaxInt
	if j.Kind == job.Service {
		most, weighed = math.Inf(1), weighedPerTask*c.startAllowance(j)
	}
	var all []opening
	of := map[string]int{}
	for _, h := range hosts {
		if of[h.Zone] >= weighed {
			continue
		}
		if m := c.machines.Get(h.ID); m != nil && j.Allows(h.Type, h.Zone, h.Spot) && j.Need.Fits(h.Capacity) && !h.Excludes(&j.Spec) {
			if out, loss := c.victims(j, h, m); out != nil && loss < most {
				all = append(all, opening{h, out, loss})
				of[h.Zone]++
			}
		}
	}
	slices.SortStableFunc(all, func(a, b opening) int { return cmp.Compare(a.loss, b.loss) })
	var out []opening
	zones, left := c.zonesOf(j), c.startAllowance(j)
	for _, o := range all {
		if left > 0 && placement.ZoneAllowed(&j.Spec, o.host.Zone, zones) {
			zones[o.host.Zone]++
			left--
			out = append(out, o)
		}
	}
	return out
}

// weighedPerTask is how many hosts of a zone are weighed for each service that waits.
const weighedPerTask = 4

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
		b := v.Bound[i]
		if b == nil || b.Attempt != t.Attempt || b.Stopping || b.StopSent > 0 && c.now.Steady-b.StopSent < c.reportInterval() {
			continue
		}
		all = append(all, victim{v, i, b, c.loss(v, m, t.Task, t.Attempt)})
	}
	slices.SortFunc(all, func(a, b victim) int { return cmp.Compare(a.loss, b.loss) })
	room, sum := h.Free, 0.0
	for n, v := range all {
		room, sum = room.Plus(v.job.Need, 1), sum+v.loss
		if j.Need.Fits(room) {
			return all[:n+1], sum
		}
	}
	return nil, 0
}

// loss is the work that is lost where a task is stopped, in CPU seconds.
func (c *Core) loss(j *job.Job, m *worker.Machine, task string, attempt uint64) float64 {
	if j.CheckpointS > 0 {
		return j.Need.CPUs * j.SaveS
	}
	return j.Need.CPUs * m.RunningTime(task, attempt, c.now.Steady).Seconds()
}

// mayStop is the users' rule on preemption, within what the operator allows.
func (c *Core) mayStop(j, v *job.Job) bool {
	switch {
	case v.Rank() > j.Rank():
		return c.policy.Preemption || lowest(v) || j.Kind == job.Service && !v.AboveNormal()
	case !c.policy.Preemption:
		return false
	}
	mine, theirs := c.teamBy[j.Team], c.teamBy[v.Team]
	return mine != theirs && c.used(mine).CPUs+j.Need.CPUs <= mine.CPUs && c.used(theirs).CPUs > theirs.CPUs
}
