// Package placement chooses machines for tasks.
package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// Host is a machine that can take tasks, with the room that is left on it.
type Host struct {
	ID, Type, Zone string
	Spot           bool
	Room, Size     job.Resources
	// Images tells which images it has or fetches.
	Images interface{ HasImage(name string) bool }
	// Penalty makes suspect machines the last choice.
	Penalty float64
	// Lasts is how many seconds it will stay; negative when not limited.
	Lasts float64
	// Empty tells that nothing is bound to it.
	Empty bool
	// Scale is its size relative to the largest type: small tasks go to small
	// machines while there is a choice, since large ones need the others.
	Scale float64
	// Dear is its price beyond that of the cheapest kind, up to 1.
	Dear float64
	// GPUShare is its accelerators relative to the type that has most.
	GPUShare float64
	// Loss is the least work, in CPU seconds, that is lost where one task is stopped to make
	// room here, and LossPerCPU the least for each CPU.
	Loss, LossPerCPU float64
	// Report is about how many bytes its report will have. A report may not be
	// longer than a request, so a machine can't take any number of tiny tasks.
	Report int
	// Reserved is set while it is kept for a task that needs more room. KeptFor is
	// what it was kept for in the round before, so that nothing that asks for less
	// and comes first has its room.
	Reserved bool
	KeptFor  job.Resources
	// ForGPUs is set while the host is for tasks that ask for accelerators alone,
	// ForServices while it is for services, and HeldFor names the gang that gathers it.
	ForGPUs, ForServices bool
	HeldFor              string
}

// longestReport leaves an eighth of a request for what a report says beside its
// tasks, and for one that was not foreseen.
const longestReport = protocol.MaxBody * 7 / 8

// Take puts a task of a job on the host.
func (h *Host) Take(s *job.Spec) {
	h.Room = h.Room.Plus(s.Need, -1)
	h.Empty = false
	h.Report += protocol.TaskBytes(s.ID) + 6
}

// keptFrom tells whether the host is kept for a task that needs more than this one.
func (h *Host) keptFrom(s *job.Spec) bool {
	return h.KeptFor != (job.Resources{}) && !h.KeptFor.Fits(s.Need)
}

// AsideFrom tells whether the host is set aside for work of another kind.
func (h *Host) AsideFrom(s *job.Spec) bool {
	return h.ForGPUs && s.Need.GPUs == 0 || h.ForServices && s.Kind != job.Service ||
		h.HeldFor != "" && h.HeldFor != s.ID
}

// Zones counts the tasks of a job that are bound in each zone.
type Zones map[string]int

// AnyZone counts the tasks on machines whose zone is not known.
const AnyZone = "?"

// Allowed tells whether one more task of the job may go to a host, given where
// its other tasks are.
func Allowed(s *job.Spec, h *Host, zones Zones) bool {
	if h.Reserved || h.Report > longestReport || h.keptFrom(s) || h.AsideFrom(s) || !s.Allows(h.Type, h.Zone, h.Spot) || !s.Need.Fits(h.Room) {
		return false
	}
	return InZone(s, h.Zone, zones)
}

// InZone tells whether one more task of the job may go to a zone.
func InZone(s *job.Spec, zone string, zones Zones) bool { return ZoneRoom(s, zone, zones) > 0 }

// ZoneRoom is how many more tasks of the job may go to a zone.
func ZoneRoom(s *job.Spec, zone string, zones Zones) int {
	if s.OneZone {
		for z, n := range zones {
			if n > 0 && z != zone {
				return 0
			}
		}
	}
	if !s.Spread {
		return job.MaxTasks
	}
	// A task whose zone is not known may be in this one. Counted as being elsewhere, it let
	// homes that had started over a moment ago put more than half of a service in a zone.
	return max(0, (s.Tasks+1)/2-zones[zone]-zones[AnyZone])
}

// Suits tells whether one more task of the job may go to a host and is likely
// to end before the host is taken away.
func Suits(s *job.Spec, h *Host, zones Zones) bool {
	return Allowed(s, h, zones) && (h.Lasts < 0 || h.Lasts >= s.EstimateS+s.SaveS)
}

// Choose picks the best allowed host, or nil. Machines with the image come
// first, then the one whose room is filled best, so that others can empty.
func Choose(s *job.Spec, hosts []*Host, zones Zones) *Host {
	var best *Host
	bestScore := 0.0
	for _, h := range hosts {
		if !Suits(s, h, zones) {
			continue
		}
		if score := score(s, h); best == nil || score > bestScore {
			best, bestScore = h, score
		}
	}
	return best
}

// score prefers hosts that have the image, and then those that are full, cheap
// and small, so that the others empty and can be returned.
func score(s *job.Spec, h *Host) float64 {
	left := h.Room.Plus(s.Need, -1)
	out := -h.Penalty - h.Dear - 2*h.Scale
	if h.Size.CPUs > 0 {
		out -= left.CPUs / h.Size.CPUs
	}
	if h.Size.MemoryGB > 0 {
		out -= left.MemoryGB / h.Size.MemoryGB
	}
	if h.Images != nil && h.Images.HasImage(s.Image) {
		out += imageWorth(s)
	}
	if h.Empty {
		out--
	}
	if s.Need.GPUs == 0 {
		out -= wasteful * h.GPUShare
	}
	return out
}

// wasteful outweighs that an image is there: replicas that settled on accelerators
// before the first job that needs them was known stayed there for the day.
const wasteful = 2 * drained

// imageWorth is what it is worth that a host has the image. Urgent work waits for
// little else than its fetch, so it goes where the image is even to a host that
// is drained.
func imageWorth(s *job.Spec) float64 {
	if s.AboveNormal() {
		return drained + 4
	}
	return 2
}

// Drain makes the dearest and emptiest hosts the last choice for as long as the
// others have room to spare, so that they empty and can be returned. spareShare
// of the whole room stays open for work to come.
func Drain(hosts []*Host, spareShare float64) {
	order := slices.Clone(hosts)
	slices.SortStableFunc(order, func(a, b *Host) int {
		return cmp.Or(cmp.Compare(b.Dear, a.Dear), cmp.Compare(a.Size.CPUs-a.Room.CPUs, b.Size.CPUs-b.Room.CPUs))
	})
	total, spare := 0.0, 0.0
	for _, h := range hosts {
		total += h.Size.CPUs
		spare += max(0, h.Room.CPUs)
	}
	for _, h := range order {
		if spare -= max(0, h.Room.CPUs); spare < total*spareShare {
			return
		}
		h.Penalty += drained
	}
}

// drained outweighs all other preferences.
const drained = 8

// Reserve keeps up to n hosts free of other tasks for a job that found no room, so
// that smaller tasks do not take every gap before a large one opens, and tells which.
// They are the first of the smallest type that holds a task, full ones too: every
// controller keeps the same ones, or each would fill what another keeps. No more than
// a part of the hosts of a type is kept, for all jobs together.
func Reserve(s *job.Spec, n int, zones Zones, hosts []*Host) []*Host {
	able := func(h *Host) bool {
		return h.Lasts < 0 && InZone(s, h.Zone, zones) && s.Allows(h.Type, h.Zone, h.Spot) && s.Need.Fits(h.Size) && !h.AsideFrom(s)
	}
	size, all, kept := math.Inf(1), 0, 0
	for _, h := range hosts {
		if able(h) {
			size = min(size, h.Size.CPUs)
		}
	}
	for _, h := range hosts {
		if h.Size.CPUs == size {
			all++
			if h.Reserved {
				kept++
			}
		}
	}
	var out []*Host
	for _, h := range hosts {
		if len(out) == n || kept > 0 && float64(kept) >= mostReserved*float64(all) {
			break
		}
		if able(h) && h.Size.CPUs == size && !h.Reserved {
			kept++
			h.Reserved = true
			out = append(out, h)
		}
	}
	return out
}

// mostReserved is the part of the hosts of a type that may be kept.
const mostReserved = 1.0 / 2

// Hold holds hosts with room for a gang of n tasks that finds none: in the zone where
// most have room already, if as many could ever have, and no more than it needs. Since
// nothing else takes them meanwhile, they only get more.
func Hold(s *job.Spec, n int, hosts []*Host) {
	free, able := map[string][]*Host{}, map[string]int{}
	for _, h := range hosts {
		zone := ""
		if s.OneZone {
			zone = h.Zone
		}
		if h.Lasts < 0 && s.Allows(h.Type, h.Zone, h.Spot) {
			able[zone] += Fit(s.Need, h.Size)
			if !h.Reserved && !h.keptFrom(s) && !h.AsideFrom(s) && s.Need.Fits(h.Room) {
				free[zone] = append(free[zone], h)
			}
		}
	}
	best, most := "", 0
	for _, zone := range slices.Sorted(maps.Keys(free)) {
		if able[zone] >= n && len(free[zone]) > most {
			best, most = zone, len(free[zone])
		}
	}
	for _, h := range free[best] {
		if n <= 0 {
			return
		}
		h.HeldFor = s.ID
		n -= Fit(s.Need, h.Room)
	}
}

// Fit is how many like tasks fit into room.
func Fit(need, room job.Resources) int {
	n := float64(job.MaxTasks)
	for _, r := range [][2]float64{{need.CPUs, room.CPUs}, {need.GPUs, room.GPUs}, {need.MemoryGB, room.MemoryGB}} {
		if r[0] > 0 {
			n = math.Min(n, math.Floor(r[1]/r[0]+1e-6))
		}
	}
	return int(max(0, n))
}

// Gang places n tasks of a job, all or none. The hosts' room is taken only if
// all find a place.
func Gang(s *job.Spec, n int, hosts []*Host, zones Zones) []*Host {
	if !s.OneZone {
		return gang(s, n, hosts, zones)
	}
	for _, zone := range zonesOf(hosts) {
		in := slices.DeleteFunc(slices.Clone(hosts), func(h *Host) bool { return h.Zone != zone })
		if out := gang(s, n, in, zones); out != nil {
			return out
		}
	}
	return nil
}

func gang(s *job.Spec, n int, hosts []*Host, before Zones) []*Host {
	zones := Zones{}
	maps.Copy(zones, before)
	var out []*Host
	for range n {
		h := Choose(s, hosts, zones)
		if h == nil {
			for _, taken := range out {
				taken.Room = taken.Room.Plus(s.Need, 1)
			}
			return nil
		}
		h.Take(s)
		zones[h.Zone]++
		out = append(out, h)
	}
	return out
}

func zonesOf(hosts []*Host) []string {
	var out []string
	seen := map[string]bool{}
	for _, h := range hosts {
		if !seen[h.Zone] {
			seen[h.Zone] = true
			out = append(out, h.Zone)
		}
	}
	return out
}
