package placement

import (
	"math"
	"slices"

	"pepperlever/internal/core/job"
)

// Reserve reserves up to n hosts for tasks of a job that fit nowhere, and returns these hosts.
// Without a reservation smaller tasks would take all resources as they become free, and a large
// task would starve. Reserve takes the first hosts of the smallest size that can hold a task, even
// full ones, so that all controllers reserve the same hosts; otherwise each would fill the hosts
// that another one reserves. All jobs together may reserve maxReservedShare of the hosts of a size,
// and always at least one.
func Reserve(s *job.Spec, n int, zones Zones, hosts []*Host) []*Host {
	cpus := smallestHostCPUs(s, zones, hosts)
	total, reserved := 0, 0
	for _, h := range hosts {
		if h.Capacity.CPUs == cpus {
			total++
			if h.Reserved {
				reserved++
			}
		}
	}
	var chosen []*Host
	for _, h := range hosts {
		if len(chosen) == n || reserved > 0 && float64(reserved) >= maxReservedShare*float64(total) {
			break
		}
		if h.Capacity.CPUs == cpus && !h.Reserved && canReserve(s, zones, h) {
			reserved++
			h.Reserved = true
			chosen = append(chosen, h)
		}
	}
	return chosen
}

// smallestHostCPUs returns the number of CPUs of the smallest hosts that may be reserved for a job,
// or infinity if there is none.
func smallestHostCPUs(s *job.Spec, zones Zones, hosts []*Host) float64 {
	smallest := math.Inf(1)
	for _, h := range hosts {
		if canReserve(s, zones, h) {
			smallest = min(smallest, h.Capacity.CPUs)
		}
	}
	return smallest
}

// canReserve reports whether a host may be reserved for a job, whether it is full or not.
func canReserve(s *job.Spec, zones Zones, h *Host) bool {
	return !h.isBeingReclaimed() &&
		ZoneAllowed(s, h.Zone, zones) &&
		s.Allows(h.Type, h.Zone, h.Spot) &&
		s.Need.Fits(h.Capacity) &&
		!h.Excludes(s)
}

// ReserveForGang reserves hosts with free resources for a gang of n tasks that cannot be placed yet,
// no more than it needs. Other jobs cannot use reserved hosts, so the reserved resources only grow
// until the gang fits. If the gang could not be placed whole even on empty hosts, nothing is
// reserved.
func ReserveForGang(s *job.Spec, n int, hosts []*Host) {
	reserved := Zones{}
	for _, h := range hostsForGang(s, n, hosts) {
		if n <= 0 {
			return
		}
		tasks := min(h.MaxTasks(s), ZoneAllowance(s, h.Zone, reserved))
		if tasks <= 0 {
			continue
		}
		h.ReservedForGang = s.ID
		reserved[h.Zone] += tasks
		n -= tasks
	}
}

// hostsForGang returns the hosts with free resources for a task of a gang of n tasks, or nil if the
// gang would not fit even on empty hosts. If the gang has to be in one zone, all the hosts are in one:
// of the zones that could hold the whole gang if empty, the one with the most such hosts.
func hostsForGang(s *job.Spec, n int, hosts []*Host) []*Host {
	usable := slices.DeleteFunc(slices.Clone(hosts), func(h *Host) bool {
		return h.isBeingReclaimed() || !s.Allows(h.Type, h.Zone, h.Spot) || h.excludesKind(s)
	})
	if !s.OneZone {
		return hostsForWholeGang(s, n, usable)
	}
	var largest []*Host
	for _, zone := range slices.Sorted(slices.Values(distinctZones(usable))) {
		inZone := slices.DeleteFunc(slices.Clone(usable), func(h *Host) bool { return h.Zone != zone })
		if available := hostsForWholeGang(s, n, inZone); len(available) > len(largest) {
			largest = available
		}
	}
	return largest
}

// hostsForWholeGang returns the hosts with free resources for a task of a gang, or nil if n of its
// tasks would not fit on the hosts together even if these were empty.
func hostsForWholeGang(s *job.Spec, n int, hosts []*Host) (available []*Host) {
	if gangCapacity(s, hosts) < n {
		return nil
	}
	for _, h := range hosts {
		if !h.Reserved && !h.reservedForLarger(s) && !h.Excludes(s) && s.Need.Fits(h.Free) {
			available = append(available, h)
		}
	}
	return available
}

// gangCapacity returns how many tasks of a gang would fit on the hosts if these were empty.
func gangCapacity(s *job.Spec, hosts []*Host) (tasks int) {
	byZone := Zones{}
	for _, h := range hosts {
		byZone[h.Zone] += h.MaxTasksWhenEmpty(s)
	}
	for zone, capacity := range byZone {
		tasks += min(capacity, ZoneAllowance(s, zone, nil))
	}
	return tasks
}
