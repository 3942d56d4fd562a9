package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
)

// evacuateGPUHosts moves service replicas off the hosts reserved for GPU jobs, one host at a
// time, while GPU jobs are pending and the service replicas fit elsewhere. They may have been placed
// there before any GPU job was known.
func (r *round) evacuateGPUHosts() {
	c := r.core
	if !r.gpuStarved || !c.every(&c.timers.evacuation, c.reportInterval()) {
		return
	}
	for _, h := range r.hosts {
		if h.GPUOnly && job.AmountFits(h.Capacity.GPUs, h.Free.GPUs) && r.evacuate(h) {
			return
		}
	}
}

// evacuate moves the service replicas that fit elsewhere off a host, and reports whether it moved
// any.
func (r *round) evacuate(h *placement.Host) bool {
	c := r.core
	zonesByJob := map[string]placement.Zones{}
	moved := false
	c.reconciler.eachLedBinding(h.ID, r.isMovableServiceReplica, func(j *job.Job, index int, b *job.Binding) {
		if zonesByJob[j.ID] == nil {
			zonesByJob[j.ID] = r.tasksByZone(j)
		}
		zones := zonesByJob[j.ID]
		zones[h.Zone]--
		target := placement.Choose(&j.Spec, r.hosts, zones)
		if target == nil {
			return
		}
		target.Allocate(&j.Spec)
		zones[target.Zone]++
		c.log(Debug, "service replica moved off GPU host", "task", j.TaskID(index), "machine", h.ID)
		c.reconciler.stopTask(j, index, b, 0)
		moved = true
	})
	return moved
}

// isMovableServiceReplica reports whether a task is a service replica that needs no GPUs and has run
// for longer than the timeout of the policy.
func (r *round) isMovableServiceReplica(ref job.TaskRef, b *job.Binding) bool {
	c := r.core
	m := c.machines.Get(b.Machine)
	if ref.Job.Kind != job.Service || ref.Job.Need.GPUs > 0 || m == nil {
		return false
	}
	ran := m.RunningTime(ref.Job.TaskID(ref.Index), b.Attempt, c.now.Steady)
	return ran > seconds(c.policy.TimeoutS)
}
