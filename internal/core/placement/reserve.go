package placement

import (
	"maps"
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

// ReserveForGang reserves hosts with room for a gang of n tasks that finds none: in the zone
// where most have room already, if as many could ever have, and no more than it needs. Since
// nothing else takes them meanwhile, they only get more.
func ReserveForGang(s *job.Spec, n int, hosts []*Host) {
	for _, h := range zoneForGang(s, n, hosts) {
		if n <= 0 {
			return
		}
		h.ReservedForGang = s.ID
		n -= FitCount(s.Need, h.Free)
	}
}

// zoneForGang lists the hosts with room for a task of a gang in the zone where there are most.
// A gang that need not be in one zone has those of all zones, whatever their capacity.
func zoneForGang(s *job.Spec, n int, hosts []*Host) []*Host {
	free, capacity := map[string][]*Host{}, map[string]int{}
	for _, h := range hosts {
		zone := ""
		if s.OneZone {
			zone = h.Zone
		}
		if h.isLimited() || !s.Allows(h.Type, h.Zone, h.Spot) {
			continue
		}
		capacity[zone] += FitCount(s.Need, h.Capacity)
		if !h.Reserved && !h.reservedForLarger(s) && !h.Excludes(s) && s.Need.Fits(h.Free) {
			free[zone] = append(free[zone], h)
		}
	}
	best, most := "", 0
	for _, zone := range slices.Sorted(maps.Keys(free)) {
		if capacity[zone] >= n && len(free[zone]) > most {
			best, most = zone, len(free[zone])
		}
	}
	return free[best]
}
