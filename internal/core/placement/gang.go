package placement

import (
	"maps"
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/progress"
)

// PlaceGang chooses hosts for n tasks of a job, all or none, within one zone if the job requires
// it. It allocates their resources only if every task has a host, and returns nil otherwise. Each task
// counts as a unit of work in finished: a gang may have very many.
func PlaceGang(s *job.Spec, n int, hosts []*Host, zones Zones, finished *progress.Counter) []*Host {
	if !s.OneZone {
		return placeAllOrNone(s, n, hosts, zones, finished)
	}
	for _, zone := range distinctZones(hosts) {
		inZone := slices.DeleteFunc(slices.Clone(hosts), func(h *Host) bool { return h.Zone != zone })
		if chosen := placeAllOrNone(s, n, inZone, zones, finished); chosen != nil {
			return chosen
		}
	}
	return nil
}

// placeAllOrNone places n tasks of a job on any of the hosts, all or none. boundByZone counts the
// tasks of the job that are already bound.
func placeAllOrNone(s *job.Spec, n int, hosts []*Host, boundByZone Zones, finished *progress.Counter) []*Host {
	zones := Zones{}
	maps.Copy(zones, boundByZone)
	var chosen []*Host
	before := map[*Host]Host{}
	for range n {
		host := Choose(s, hosts, zones)
		finished.Advance()
		if host == nil {
			restore(before)
			return nil
		}
		if _, known := before[host]; !known {
			before[host] = *host
		}
		host.Allocate(s)
		zones[host.Zone]++
		chosen = append(chosen, host)
	}
	return chosen
}

// restore undoes all allocations on hosts since they were as given. The hosts still count as used for the
// rest of the round, which only affects the preference among hosts.
func restore(before map[*Host]Host) {
	for host, was := range before {
		was.Empty = host.Empty
		*host = was
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
