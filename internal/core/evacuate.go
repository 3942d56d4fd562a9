package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
)

// evacuateGPUHosts moves the replicas of one host at a time off the hosts that are reserved
// for accelerator work, while such work waits and there is room for them elsewhere. They may
// have been placed there before anything that needs the accelerators was known.
func (r *round) evacuateGPUHosts() {
	c := r.core
	if !r.gpuStarved || !c.every(&c.timers.evacuation, c.reportInterval()) {
		return
	}
	for _, h := range r.hosts {
		if h.GPUOnly && h.Free.GPUs >= h.Capacity.GPUs && r.evacuate(h) {
			return
		}
	}
}

// evacuate moves what can be moved off a host, and tells whether that is anything.
func (r *round) evacuate(h *placement.Host) bool {
	c := r.core
	zonesByJob := map[string]placement.Zones{}
	moved := false
	c.reconciler.eachLedBinding(h.ID, r.isMovableReplica, func(j *job.Job, index int, b *job.Binding) {
		if zonesByJob[j.ID] == nil {
			zonesByJob[j.ID] = r.zonesOf(j)
		}
		zones := zonesByJob[j.ID]
		zones[h.Zone]--
		target := placement.Choose(&j.Spec, r.hosts, zones)
		if target == nil {
			return
		}
		target.Take(&j.Spec)
		zones[target.Zone]++
		c.log(Debug, "replica moved off accelerators", "task", j.TaskID(index), "machine", h.ID)
		c.reconciler.stopTask(j, index, b, 0)
		moved = true
	})
	return moved
}

// isMovableReplica tells whether a task is a replica that needs no accelerators and has run
// for a while.
func (r *round) isMovableReplica(ref job.TaskRef, b *job.Binding) bool {
	c := r.core
	m := c.machines.Get(b.Machine)
	if ref.Job.Kind != job.Service || ref.Job.Need.GPUs > 0 || m == nil {
		return false
	}
	ran := m.RunningTime(ref.Job.TaskID(ref.Index), b.Attempt, c.now.Steady)
	return ran > seconds(c.policy.TimeoutS)
}
