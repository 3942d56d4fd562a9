package placement

import (
	"maps"
	"slices"

	"pepperlever/internal/core/job"
)

// PlaceGang chooses hosts for n tasks of a job, all or none, within one zone if the job requires
// it. It allocates their resources only if every task has a host, and returns nil otherwise.
func PlaceGang(s *job.Spec, n int, hosts []*Host, zones Zones) []*Host {
	if !s.OneZone {
		return placeAllOrNone(s, n, hosts, zones)
	}
	for _, zone := range distinctZones(hosts) {
		inZone := slices.DeleteFunc(slices.Clone(hosts), func(h *Host) bool { return h.Zone != zone })
		if chosen := placeAllOrNone(s, n, inZone, zones); chosen != nil {
			return chosen
		}
	}
	return nil
}

// placeAllOrNone places n tasks of a job on any of the hosts, all or none. boundByZone counts the
// tasks of the job that are already bound.
func placeAllOrNone(s *job.Spec, n int, hosts []*Host, boundByZone Zones) []*Host {
	zones := Zones{}
	maps.Copy(zones, boundByZone)
	var chosen []*Host
	for range n {
		host := Choose(s, hosts, zones)
		if host == nil {
			release(s, chosen)
			return nil
		}
		host.Allocate(s)
		zones[host.Zone]++
		chosen = append(chosen, host)
	}
	return chosen
}

// release frees the resources of one task on each host.
func release(s *job.Spec, hosts []*Host) {
	for _, h := range hosts {
		h.Free = h.Free.Plus(s.Need, 1)
	}
}

// distinctZones returns the zones of hosts in the order of their first occurrence.
func distinctZones(hosts []*Host) []string {
	var zones []string
	for _, h := range hosts {
		if !slices.Contains(zones, h.Zone) {
			zones = append(zones, h.Zone)
		}
	}
	return zones
}
