package placement

import (
	"maps"
	"slices"

	"pepperlever/internal/core/job"
)

// PlaceGang places n tasks of a job, all or none. The hosts' room is taken only if all find a
// place.
func PlaceGang(s *job.Spec, n int, hosts []*Host, zones Zones) []*Host {
	if !s.OneZone {
		return placeTogether(s, n, hosts, zones)
	}
	for _, zone := range zonesOf(hosts) {
		inZone := slices.DeleteFunc(slices.Clone(hosts), func(h *Host) bool { return h.Zone != zone })
		if chosen := placeTogether(s, n, inZone, zones); chosen != nil {
			return chosen
		}
	}
	return nil
}

// placeTogether places n tasks of a job on any of the hosts, all or none.
func placeTogether(s *job.Spec, n int, hosts []*Host, bound Zones) []*Host {
	zones := Zones{}
	maps.Copy(zones, bound)
	var chosen []*Host
	for range n {
		host := Choose(s, hosts, zones)
		if host == nil {
			release(s, chosen)
			return nil
		}
		host.Take(s)
		zones[host.Zone]++
		chosen = append(chosen, host)
	}
	return chosen
}

// release gives the room of tasks back, one on each host.
func release(s *job.Spec, hosts []*Host) {
	for _, h := range hosts {
		h.Free = h.Free.Plus(s.Need, 1)
	}
}

// zonesOf lists the zones of hosts in the order in which they come.
func zonesOf(hosts []*Host) []string {
	var zones []string
	for _, h := range hosts {
		if !slices.Contains(zones, h.Zone) {
			zones = append(zones, h.Zone)
		}
	}
	return zones
}
