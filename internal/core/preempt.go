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

// hostsPerService is how many hosts of a zone are weighed for each replica that waits.
const hostsPerService = 4

// minCPUs keeps the loss per CPU of tasks that ask for next to nothing finite.
const minCPUs = 1e-3

// preemptionVictim is a running task that may be stopped, and the work that this loses, in
// CPU seconds.
type preemptionVictim struct {
	job     *job.Job
	index   int
	binding *job.Binding
	loss    float64
}

// preemptionOption is a host on which room can be made for one task, and what that takes.
type preemptionOption struct {
	host    *placement.Host
	victims []preemptionVictim
	loss    float64
}

// preempt makes room for jobs that found none, where the users' rules allow it. Best-effort
// work always makes way: its long tasks would hold the large machines that others wait for. So
// do arrays for services of higher priority, which wait for nothing else and stay. Any other
// work is stopped only where the operator asks for it. No more work is lost than room is made
// for.
func (r *round) preempt() {
	hosts := r.preemptibleHosts(r.hosts, func(victim *job.Job) bool {
		return r.core.policy.Preemption || isBestEffort(victim)
	})
	var hostsForServices []*placement.Host
	if slices.ContainsFunc(r.starved, func(j *job.Job) bool { return j.Kind == job.Service }) {
		hostsForServices = r.preemptibleHosts(r.hosts, func(victim *job.Job) bool {
			return victim.Kind == job.Array && !victim.AboveNormal()
		})
	}
	for _, j := range r.starved {
		if !r.mayPreemptNow(j) {
			continue
		}
		usable := hosts
		if j.Kind == job.Service {
			usable = hostsForServices
		}
		taken := r.preemptFor(j, usable)
		isTaken := func(h *placement.Host) bool { return taken[h] }
		hosts = slices.DeleteFunc(hosts, isTaken)
		hostsForServices = slices.DeleteFunc(hostsForServices, isTaken)
	}
}

// mayPreemptNow tells whether a job has waited for long enough for room to be made for it.
func (r *round) mayPreemptNow(j *job.Job) bool {
	if j.Kind == job.Gang {
		return false
	}
	now, delay := r.core.now.Steady, r.preemptionDelay(j)
	if j.Kind != job.Service && now-j.PendingSince < delay {
		return false
	}
	return j.PreemptedAt == 0 || now-j.PreemptedAt >= delay
}

// preemptionDelay is how long a job waits before room is made for it, or more of it: urgent
// ones as long as it takes to hear what has ended meanwhile. For services the first is made at
// once.
func (r *round) preemptionDelay(j *job.Job) time.Duration {
	if j.AboveNormal() {
		return r.core.reportInterval() / 6
	}
	return r.core.reportInterval()
}

// preemptFor stops tasks on hosts to make room for a job, and returns the hosts concerned.
func (r *round) preemptFor(j *job.Job, hosts []*placement.Host) map[*placement.Host]bool {
	c := r.core
	taken := map[*placement.Host]bool{}
	for _, option := range r.cheapestOptions(j, hosts) {
		taken[option.host] = true
		for _, v := range option.victims {
			c.log(Debug, "task preempted", "task", v.job.TaskID(v.index), "machine", v.binding.Machine, "for", j.ID)
			v.binding.StopSent = c.now.Steady
			c.reconciler.sendStop(v.job, v.index, v.binding, v.job.SaveS)
		}
	}
	if len(taken) > 0 || j.Kind == job.Service {
		j.PreemptedAt = c.now.Steady
	}
	return taken
}

// preemptibleHosts lists the hosts that stay and have work on them that may be stopped.
func (r *round) preemptibleHosts(hosts []*placement.Host, isVictim func(*job.Job) bool) []*placement.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h *placement.Host) bool {
		return h.RemainingS >= 0 || !r.core.machines.HasBindingsOf(h.ID, isVictim)
	})
}

// cheapestOptions finds the hosts where room for the waiting tasks of a job costs the least
// work, no more of them in a zone than may be there.
func (r *round) cheapestOptions(j *job.Job, hosts []*placement.Host) []preemptionOption {
	options := r.preemptionOptions(j, hosts)
	slices.SortStableFunc(options, func(a, b preemptionOption) int { return cmp.Compare(a.loss, b.loss) })
	var chosen []preemptionOption
	zones, tasks := r.zonesOf(j), r.core.startAllowance(j)
	for _, option := range options {
		if len(chosen) < tasks && placement.ZoneAllowed(&j.Spec, option.host.Zone, zones) {
			zones[option.host.Zone]++
			chosen = append(chosen, option)
		}
	}
	return chosen
}

// preemptionOptions lists the hosts where room for a task of a job can be made. No more work
// may be lost than the task has, but for services, which run on. For these a few times as many
// hosts of each zone are weighed as are needed, not all of a large fleet for each of many jobs.
func (r *round) preemptionOptions(j *job.Job, hosts []*placement.Host) []preemptionOption {
	c := r.core
	maxLoss, maxPerZone := j.Need.CPUs*j.EstimateS, math.MaxInt
	if j.Kind == job.Service {
		maxLoss, maxPerZone = math.Inf(1), hostsPerService*c.startAllowance(j)
	}
	var options []preemptionOption
	perZone := map[string]int{}
	for _, h := range hosts {
		m := c.machines.Get(h.ID)
		if m == nil || perZone[h.Zone] >= maxPerZone || !canEverHold(&j.Spec, h) {
			continue
		}
		if victims, loss := r.victimsFor(j, h, m); victims != nil && loss < maxLoss {
			options = append(options, preemptionOption{h, victims, loss})
			perZone[h.Zone]++
		}
	}
	return options
}

// canEverHold tells whether a host could hold a task, were it empty.
func canEverHold(s *job.Spec, h *placement.Host) bool {
	return s.Allows(h.Type, h.Zone, h.Spot) && s.Need.Fits(h.Capacity) && !h.Excludes(s)
}

// victimsFor lists the tasks on a machine that would have to be stopped for one task of a job,
// those with the least loss first, with the loss of all of them, or nil when stopping all is
// not enough.
func (r *round) victimsFor(j *job.Job, h *placement.Host, m *worker.Machine) ([]preemptionVictim, float64) {
	candidates := r.victimsOn(m, j)
	slices.SortFunc(candidates, func(a, b preemptionVictim) int { return cmp.Compare(a.loss, b.loss) })
	free, loss := h.Free, 0.0
	for i, v := range candidates {
		free, loss = free.Plus(v.job.Need, 1), loss+v.loss
		if j.Need.Fits(free) {
			return candidates[:i+1], loss
		}
	}
	return nil, 0
}

// victimsOn lists the tasks on a machine that may be stopped for a job.
func (r *round) victimsOn(m *worker.Machine, j *job.Job) []preemptionVictim {
	c := r.core
	var victims []preemptionVictim
	for _, t := range m.Tasks {
		id, index, _ := job.ParseTaskID(t.Task)
		victim := c.jobs[id]
		if victim == nil || t.State != protocol.Running || victim.Kind != job.Array || !r.mayPreempt(j, victim) {
			continue
		}
		b := victim.Bound[index]
		if b == nil || b.Attempt != t.Attempt || b.Stopping {
			continue
		}
		if b.StopSent > 0 && c.now.Steady-b.StopSent < c.reportInterval() {
			continue
		}
		loss := preemptionLoss(victim, m, t.Task, t.Attempt, c.now.Steady)
		victims = append(victims, preemptionVictim{victim, index, b, loss})
	}
	return victims
}

// preemptionLoss is the work that is lost where a task is stopped, in CPU seconds.
func preemptionLoss(j *job.Job, m *worker.Machine, task string, attempt uint64, now time.Duration) float64 {
	if j.CheckpointS > 0 {
		return j.Need.CPUs * j.SaveS
	}
	return j.Need.CPUs * m.RunningTime(task, attempt, now).Seconds()
}

// mayPreempt is the users' rule on stopping tasks of victim for those of j, within what the
// operator allows.
func (r *round) mayPreempt(j, victim *job.Job) bool {
	c := r.core
	if victim.Rank() > j.Rank() {
		return c.policy.Preemption || isBestEffort(victim) || j.Kind == job.Service && !victim.AboveNormal()
	}
	if !c.policy.Preemption {
		return false
	}
	preemptor, preempted := c.teamBy[j.Team], c.teamBy[victim.Team]
	return preemptor != preempted &&
		preemptor.usage().CPUs+j.Need.CPUs <= preemptor.CPUs &&
		preempted.usage().CPUs > preempted.CPUs
}

// bestEffortHosts lists the machines with best-effort work, with the room there would be
// without it and what stopping it loses. Other work takes that room; machines rented for it
// would stand idle when they come.
func (c *Core) bestEffortHosts() []*placement.Host {
	var hosts []*placement.Host
	for name, m := range c.machines.All() {
		load := c.machines.Load(name)
		if load == nil || m.ReclaimAt > 0 || !c.isSchedulable(m) {
			continue
		}
		preemptible, loss, lossPerCPU := bestEffortLoad(m, load, c.now.Steady)
		if preemptible.CPUs == 0 {
			continue
		}
		capacity := c.catalog.Capacity(m.Type)
		hosts = append(hosts, &placement.Host{
			ID:                   name,
			Type:                 m.Type,
			Zone:                 m.Zone,
			Spot:                 m.Spot,
			Capacity:             capacity,
			RemainingS:           -1,
			Free:                 capacity.Plus(c.machines.UsedResources(m), -1).Plus(preemptible, 1),
			PreemptionLoss:       loss,
			PreemptionLossPerCPU: lossPerCPU,
		})
	}
	return hosts
}

// bestEffortLoad is what best-effort tasks take on a machine, and the least work that is lost
// where one of them is stopped, in all and for each CPU.
func bestEffortLoad(
	m *worker.Machine,
	load *job.Load,
	now time.Duration,
) (preemptible job.Resources, loss, lossPerCPU float64) {
	loss, lossPerCPU = math.Inf(1), math.Inf(1)
	for ref, b := range load.Tasks {
		if !isBestEffort(ref.Job) {
			continue
		}
		preemptible = preemptible.Plus(ref.Job.Need, 1)
		taskLoss := preemptionLoss(ref.Job, m, ref.Job.TaskID(ref.Index), b.Attempt, now)
		loss = min(loss, taskLoss)
		lossPerCPU = min(lossPerCPU, taskLoss/max(ref.Job.Need.CPUs, minCPUs))
	}
	return preemptible, loss, lossPerCPU
}
