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

// candidatesPerServiceReplica is the number of hosts per zone that are evaluated for each pending
// service replica.
const candidatesPerServiceReplica = 4

// minCPUsForLoss keeps the loss per CPU finite for tasks that request almost no CPU.
const minCPUsForLoss = 1e-3

// preemptionVictim is a running task that may be preempted. loss is the work that would be lost,
// in CPU seconds.
type preemptionVictim struct {
	job     *job.Job
	index   int
	binding *job.Binding
	loss    float64
}

// preemptionOption is a host on which capacity for one task can be freed, with the victims to
// stop and the total work lost.
type preemptionOption struct {
	host    *placement.Host
	victims []preemptionVictim
	loss    float64
}

// preempt stops running tasks to free capacity for jobs that could not be placed, where the
// preemption rules allow it. Only tasks of arrays are stopped. Best-effort arrays are preempted for
// jobs of higher priority, since their long tasks would occupy the large machines that other jobs
// need. Other arrays, up to normal priority, are preempted for services of higher priority: a
// service runs for long and cannot wait for arrays to finish. Any other preemption needs the
// operator's policy to enable it. Except for services, no preemption loses more work than the new
// task contains.
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
		candidates := hosts
		if j.Kind == job.Service {
			candidates = hostsForServices
		}
		preempted := r.preemptFor(j, candidates)
		isPreempted := func(h *placement.Host) bool { return preempted[h] }
		hosts = slices.DeleteFunc(hosts, isPreempted)
		hostsForServices = slices.DeleteFunc(hostsForServices, isPreempted)
		r.core.progress.Advance()
	}
}

// mayPreemptNow reports whether a job may preempt others now: enough time has passed since it became
// pending and since it last preempted others. Gangs never preempt.
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

// preemptionDelay is how long a job waits before its first preemption and between preemptions.
// For jobs above normal priority it is just long enough to learn which tasks have ended in the
// meantime. The first preemption for a service is immediate.
func (r *round) preemptionDelay(j *job.Job) time.Duration {
	if j.AboveNormal() {
		return r.core.reportInterval() / 6
	}
	return r.core.reportInterval()
}

// preemptFor stops tasks on the cheapest hosts to free capacity for a job, and returns these
// hosts.
func (r *round) preemptFor(j *job.Job, hosts []*placement.Host) map[*placement.Host]bool {
	c := r.core
	preempted := map[*placement.Host]bool{}
	for _, option := range r.cheapestOptions(j, hosts) {
		preempted[option.host] = true
		for _, v := range option.victims {
			c.log(Debug, "task preempted", "task", v.job.TaskID(v.index), "machine", v.binding.Machine, "for", j.ID)
			v.binding.StopSent = c.now.Steady
			c.reconciler.sendStop(v.job, v.index, v.binding, v.job.SaveS)
		}
	}
	if len(preempted) > 0 || j.Kind == job.Service {
		j.PreemptedAt = c.now.Steady
	}
	return preempted
}

// preemptibleHosts lists the hosts that are not about to be reclaimed and run a preemptible task.
func (r *round) preemptibleHosts(hosts []*placement.Host, isVictim func(*job.Job) bool) []*placement.Host {
	return slices.DeleteFunc(slices.Clone(hosts), func(h *placement.Host) bool {
		return h.RemainingS >= 0 || !r.core.machines.HasBindingOfJob(h.ID, isVictim)
	})
}

// cheapestOptions selects the hosts where freeing capacity for the job's pending tasks loses the
// least work, within the job's zone constraints.
func (r *round) cheapestOptions(j *job.Job, hosts []*placement.Host) []preemptionOption {
	options := r.preemptionOptions(j, hosts)
	slices.SortStableFunc(options, func(a, b preemptionOption) int { return cmp.Compare(a.loss, b.loss) })
	var chosen []preemptionOption
	zones, pending := r.tasksByZone(j), r.core.startAllowance(j)
	for _, option := range options {
		if len(chosen) < pending && placement.ZoneAllowed(&j.Spec, option.host.Zone, zones) {
			zones[option.host.Zone]++
			chosen = append(chosen, option)
		}
	}
	return chosen
}

// preemptionOptions lists the hosts where capacity for a task of a job can be freed. The work lost
// must be less than the work of the task itself, except for services, which run indefinitely. For
// services only a few candidate hosts per zone and service replica are evaluated, to avoid scanning
// a large fleet for each of many jobs.
func (r *round) preemptionOptions(j *job.Job, hosts []*placement.Host) []preemptionOption {
	c := r.core
	maxLoss, maxPerZone := j.Need.CPUs*j.EstimateS, math.MaxInt
	if j.Kind == job.Service {
		maxLoss, maxPerZone = math.Inf(1), candidatesPerServiceReplica*c.startAllowance(j)
	}
	var options []preemptionOption
	perZone := map[string]int{}
	for _, h := range hosts {
		m := c.machines.Get(h.ID)
		if m == nil || perZone[h.Zone] >= maxPerZone || !fitsWhenEmpty(&j.Spec, h) {
			continue
		}
		if victims, loss := r.victimsFor(j, h, m); victims != nil && loss < maxLoss {
			options = append(options, preemptionOption{h, victims, loss})
			perZone[h.Zone]++
		}
	}
	return options
}

// fitsWhenEmpty reports whether a host could hold a task if the host were empty.
func fitsWhenEmpty(s *job.Spec, h *placement.Host) bool {
	return s.Allows(h.Type, h.Zone, h.Spot) && s.Need.Fits(h.Capacity) && !h.Excludes(s)
}

// victimsFor selects the tasks on a machine to stop for one task of a job, those with the least
// loss first, and returns them with their total loss. It returns nil if stopping all candidates
// does not free enough capacity.
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

// victimsOn lists the tasks on a machine that may be preempted for a job.
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

// preemptionLoss is the work lost by stopping a task, in CPU seconds.
func preemptionLoss(j *job.Job, m *worker.Machine, task string, attempt uint64, now time.Duration) float64 {
	if j.CheckpointS > 0 {
		return j.Need.CPUs * j.SaveS
	}
	return j.Need.CPUs * m.RunningTime(task, attempt, now).Seconds()
}

// mayPreempt reports whether tasks of victim may be stopped for tasks of j, under the preemption
// rules and the operator's policy.
func (r *round) mayPreempt(j, victim *job.Job) bool {
	c := r.core
	if victim.Rank() > j.Rank() {
		return c.policy.Preemption || isBestEffort(victim) || j.Kind == job.Service && !victim.AboveNormal()
	}
	if !c.policy.Preemption {
		return false
	}
	preemptor, preempted := c.teamsByName[j.Team], c.teamsByName[victim.Team]
	return preemptor != preempted &&
		withinGuarantee(preemptor, preemptor.usage().CPUs+j.Need.CPUs) &&
		!withinGuarantee(preempted, preempted.usage().CPUs)
}

// preemptibleBestEffortHosts lists the machines that run best-effort tasks, with the capacity
// that is free once these are preempted and the least work lost by preempting one of them. Other
// jobs get that capacity through preemption, so machines rented for them would be idle.
func (c *Core) preemptibleBestEffortHosts() []*placement.Host {
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

// bestEffortLoad returns the resources that best-effort tasks take on a machine, and the least
// work lost by stopping one of them, in total and per CPU.
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
		lossPerCPU = min(lossPerCPU, taskLoss/max(ref.Job.Need.CPUs, minCPUsForLoss))
	}
	return preemptible, loss, lossPerCPU
}
