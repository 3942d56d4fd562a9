package placement

import (
	"math"
	"slices"

	"pepperlever/internal/core/job"
)

// Reserve reserves up to n hosts for a job that found no room, so that smaller tasks do not
// take every gap before a large one opens, and tells which. They are the first of the smallest
// type that holds a task, full ones too: every controller reserves the same ones, or each would
// fill what another reserves. No more than a part of the hosts of a type is reserved, for all
// jobs together.
func Reserve(s *job.Spec, n int, zones Zones, hosts []*Host) []*Host {
	size := smallestSize(s, zones, hosts)
	total, reserved := 0, 0
	for _, h := range hosts {
		if h.Capacity.CPUs == size {
			total++
			if h.Reserved {
				reserved++
			}
		}
	}
	var out []*Host
	for _, h := range hosts {
		if len(out) == n || reserved > 0 && float64(reserved) >= maxReservedShare*float64(total) {
			break
		}
		if h.Capacity.CPUs == size && !h.Reserved && mayReserve(s, zones, h) {
			reserved++
			h.Reserved = true
			out = append(out, h)
		}
	}
	return out
}

// smallestSize is the number of CPUs of the smallest hosts that may be reserved for a job.
func smallestSize(s *job.Spec, zones Zones, hosts []*Host) float64 {
	size := math.Inf(1)
	for _, h := range hosts {
		if mayReserve(s, zones, h) {
			size = min(size, h.Capacity.CPUs)
		}
	}
	return size
}

// mayReserve tells whether a host may be reserved for a job, full or not.
func mayReserve(s *job.Spec, zones Zones, h *Host) bool {
	return !h.isLimited() &&
		ZoneAllowed(s, h.Zone, zones) &&
		s.Allows(h.Type, h.Zone, h.Spot) &&
		s.Need.Fits(h.Capacity) &&
		!h.Excludes(s)
}

// ReserveForGang reserves hosts with room for a gang of n tasks that finds none, no more than it
// needs. Since nothing else takes them meanwhile, they only get more. Where the gang could never
// be placed whole it reserves nothing.
func ReserveForGang(s *job.Spec, n int, hosts []*Host) {
	reserved := Zones{}
	for _, h := range roomForGang(s, n, hosts) {
		if n <= 0 {
			return
		}
		tasks := min(FitCount(s.Need, h.Free), ZoneAllowance(s, h.Zone, reserved))
		if tasks <= 0 {
			continue
		}
		h.ReservedForGang = s.ID
		reserved[h.Zone] += tasks
		n -= tasks
	}
}

// roomForGang lists the hosts with room for a task of a gang of n tasks: those of all zones, or
// of the zone where there are most if it has to stay in one.
func roomForGang(s *job.Spec, n int, hosts []*Host) []*Host {
	usable := slices.DeleteFunc(slices.Clone(hosts), func(h *Host) bool {
		return h.isLimited() || !s.Allows(h.Type, h.Zone, h.Spot) || h.excludesKind(s)
	})
	if !s.OneZone {
		return roomTogether(s, n, usable)
	}
	var most []*Host
	for _, zone := range slices.Sorted(slices.Values(zonesOf(usable))) {
		inZone := slices.DeleteFunc(slices.Clone(usable), func(h *Host) bool { return h.Zone != zone })
		if room := roomTogether(s, n, inZone); len(room) > len(most) {
			most = room
		}
	}
	return most
}

// roomTogether lists the hosts with room for a task of a gang, if n tasks could ever be on the
// hosts together.
func roomTogether(s *job.Spec, n int, hosts []*Host) (room []*Host) {
	if gangCapacity(s, hosts) < n {
		return nil
	}
	for _, h := range hosts {
		if !h.Reserved && !h.reservedForLarger(s) && !h.Excludes(s) && s.Need.Fits(h.Free) {
			room = append(room, h)
		}
	}
	return room
}

// gangCapacity is how many tasks of a gang could be on hosts together, were they empty.
func gangCapacity(s *job.Spec, hosts []*Host) (tasks int) {
	byZone := Zones{}
	for _, h := range hosts {
		byZone[h.Zone] += FitCount(s.Need, h.Capacity)
	}
	for zone, capacity := range byZone {
		tasks += min(capacity, ZoneAllowance(s, zone, nil))
	}
	return tasks
}
