package core

import (
	"slices"

	"pepperlever/internal/core/catalog"
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/placement"
	"pepperlever/internal/core/worker"
)

// listHosts lists the machines that can take tasks. Every controller derives nearly the same list
// from its replica and the shared reports, so their plans differ little. The list is valid until the
// next call.
func (r *round) listHosts() []*placement.Host {
	c := r.core
	kinds := c.catalog.Kinds()
	names := c.machines.Names()
	buffer := slices.Grow(c.scheduler.hostBuffer[:0], len(names))
	hosts := make([]*placement.Host, 0, len(names))
	for _, name := range names {
		m := c.machines.Get(name)
		traits, known := kinds[catalog.MachineKind{Type: m.Type, Spot: m.Spot}]
		if !known || !c.isSchedulable(m) {
			continue
		}
		buffer = append(buffer, r.newHost(name, m, traits))
		hosts = append(hosts, &buffer[len(buffer)-1])
	}
	c.scheduler.hostBuffer = buffer
	return hosts
}

// newHost converts a machine to a placement host.
func (r *round) newHost(name string, m *worker.Machine, traits catalog.KindTraits) placement.Host {
	c := r.core
	host := placement.Host{
		ID:               name,
		Type:             m.Type,
		Zone:             m.Zone,
		Spot:             m.Spot,
		Capacity:         traits.Capacity,
		Free:             traits.Capacity.Plus(c.machines.UsedResources(m), -1),
		Images:           m,
		Empty:            !c.machines.HasBindings(name),
		RemainingS:       -1,
		PriorReservation: c.scheduler.reservedFor[name],
		Penalty:          float64(c.failureScore(m)),
		ReportBytes:      c.machines.EstimateReportBytes(m),
		RelativeSize:     traits.RelativeSize,
		PricePremium:     traits.PricePremium,
		GPUShare:         traits.GPUShare,
	}
	if m.ReclaimAt > 0 {
		host.RemainingS = (m.ReclaimAt - c.now.Steady).Seconds()
	}
	return host
}

// isSchedulable reports whether new tasks may be placed on a machine: it has a fencing token, the
// machine and its controller can be reached, its reports arrive in time, it is neither cordoned nor
// being cordoned, its failure score is below cordonThreshold, and no start on it was rejected
// recently.
func (c *Core) isSchedulable(m *worker.Machine) bool {
	if c.cordons.has(m.Machine) || m.GrantedToken == 0 {
		return false
	}
	if c.autoscaler.isCordoning(m.Machine) {
		return false
	}
	if m.IsUnreachable() || !c.peerReachability.hasContact(m.Node) || c.reportOverdue(m) {
		return false
	}
	if c.failureScore(m) >= cordonThreshold {
		return false
	}
	return m.LastRefusedAt == 0 || c.now.Steady-m.LastRefusedAt > c.reportInterval()/2
}

// tasksByZone counts the bound tasks of a job by zone.
func (r *round) tasksByZone(j *job.Job) placement.Zones {
	zones := placement.Zones{}
	for _, b := range j.Bound {
		if m := r.core.machines.Get(b.Machine); m != nil {
			zones[m.Zone]++
		} else {
			zones[placement.UnknownZone]++
		}
	}
	return zones
}

// constrainedZones returns tasksByZone for a job with a zone constraint (one zone or spread), and
// nil for other jobs.
func (r *round) constrainedZones(j *job.Job) placement.Zones {
	if !j.OneZone && !j.Spread {
		return nil
	}
	return r.tasksByZone(j)
}

// excludeFailedHosts removes the hosts on which a job has failed since it last succeeded, unless no
// other host could hold a task of the job even if the host were empty.
func excludeFailedHosts(j *job.Job, hosts []*placement.Host) []*placement.Host {
	if len(j.FailedOn) == 0 {
		return hosts
	}
	others := slices.DeleteFunc(slices.Clone(hosts), func(h *placement.Host) bool {
		return slices.Contains(j.FailedOn, h.ID)
	})
	if !fitsAnyWhenEmpty(&j.Spec, others) {
		return hosts
	}
	return others
}

// fitsAnyWhenEmpty reports whether any host could hold a task if the host were empty.
func fitsAnyWhenEmpty(s *job.Spec, hosts []*placement.Host) bool {
	return slices.ContainsFunc(hosts, func(h *placement.Host) bool {
		return s.Allows(h.Type, h.Zone, h.Spot) && s.Need.Fits(h.Capacity)
	})
}
