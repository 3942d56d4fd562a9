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
	Free, Capacity job.Resources
	// Images tells which images it has or fetches.
	Images interface{ HasImage(name string) bool }
	// Penalty makes suspect machines the last choice.
	Penalty float64
	// RemainingS is how many seconds it will stay; negative when not limited.
	RemainingS float64
	// Empty tells that nothing is bound to it.
	Empty bool
	// RelativeSize is its size relative to the largest type: small tasks go to small
	// machines while there is a choice, since large ones need the others.
	RelativeSize float64
	// PricePremium is its price beyond that of the cheapest kind, up to 1.
	PricePremium float64
	// GPUShare is its accelerators relative to the type that has most.
	GPUShare float64
	// PreemptionLoss is the least work, in CPU seconds, that is lost where one task is stopped to make
	// room here, and PreemptionLossPerCPU the least for each CPU.
	PreemptionLoss, PreemptionLossPerCPU float64
	// ReportBytes is about how many bytes its report will have. A report may not be
	// longer than a request, so a machine can't take any number of tiny tasks.
	ReportBytes int
	// Reserved is set while it is kept for a task that needs more room. PriorReservation is
	// what it was kept for in the round before, so that nothing that asks for less
	// and comes first has its room.
	Reserved         bool
	PriorReservation job.Resources
	// GPUOnly is set while the host is for tasks that ask for accelerators alone,
	// ServicesOnly while it is for services, and ReservedForGang names the gang that gathers it.
	GPUOnly, ServicesOnly bool
	ReservedForGang       string
}

// maxReportBytes leaves an eighth of a request for what a report says beside its
// tasks, and for one that was not foreseen.
const maxReportBytes = protocol.MaxBody * 7 / 8

// Take puts a task of a job on the host.
func (h *Host) Take(s *job.Spec) {
	h.Free = h.Free.Plus(s.Need, -1)
	h.Empty = false
	h.ReportBytes += protocol.TaskBytes(s.ID) + 6
}

// reservedForLarger tells whether the host is kept for a task that needs more than this one.
func (h *Host) reservedForLarger(s *job.Spec) bool {
	return h.PriorReservation != (job.Resources{}) && !h.PriorReservation.Fits(s.Need)
}

// Excludes tells whether the host is set aside for work of another kind.
func (h *Host) Excludes(s *job.Spec) bool {
	return h.GPUOnly && s.Need.GPUs == 0 || h.ServicesOnly && s.Kind != job.Service ||
		h.ReservedForGang != "" && h.ReservedForGang != s.ID
}

// Zones counts the tasks of a job that are bound in each zone.
type Zones map[string]int

// UnknownZone counts the tasks on machines whose zone is not known.
const UnknownZone = "?"

// Allowed tells whether one more task of the job may go to a host, given where
// its other tasks are.
func Allowed(s *job.Spec, h *Host, zones Zones) bool {
	if h.Reserved || h.ReportBytes > maxReportBytes || h.reservedForLarger(s) || h.Excludes(s) || !s.Allows(h.Type, h.Zone, h.Spot) || !s.Need.Fits(h.Free) {
		return false
	}
	return ZoneAllowed(s, h.Zone, zones)
}

// ZoneAllowed tells whether one more task of the job may go to a zone.
func ZoneAllowed(s *job.Spec, zone string, zones Zones) bool {
	return ZoneAllowance(s, zone, zones) > 0
}

// ZoneAllowance is how many more tasks of the job may go to a zone.
func ZoneAllowance(s *job.Spec, zone string, zones Zones) int {
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
	return max(0, (s.Tasks+1)/2-zones[zone]-zones[UnknownZone])
}

// Suits tells whether one more task of the job may go to a host and is likely
// to end before the host is taken away.
func Suits(s *job.Spec, h *Host, zones Zones) bool {
	return Allowed(s, h, zones) && (h.RemainingS < 0 || h.RemainingS >= s.EstimateS+s.SaveS)
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
	left := h.Free.Plus(s.Need, -1)
	out := -h.Penalty - h.PricePremium - 2*h.RelativeSize
	if h.Capacity.CPUs > 0 {
		out -= left.CPUs / h.Capacity.CPUs
	}
	if h.Capacity.MemoryGB > 0 {
		out -= left.MemoryGB / h.Capacity.MemoryGB
	}
	if h.Images != nil && h.Images.HasImage(s.Image) {
		out += imageBonus(s)
	}
	if h.Empty {
		out--
	}
	if s.Need.GPUs == 0 {
		out -= gpuWastePenalty * h.GPUShare
	}
	return out
}

// gpuWastePenalty outweighs that an image is there: replicas that settled on accelerators
// before the first job that needs them was known stayed there for the day.
const gpuWastePenalty = 2 * surplusPenalty

// imageBonus is what it is worth that a host has the image. Urgent work waits for
// little else than its fetch, so it goes where the image is even to a host that
// is drained.
func imageBonus(s *job.Spec) float64 {
	if s.AboveNormal() {
		return surplusPenalty + 4
	}
	return 2
}

// DeprioritizeSurplus makes the dearest and emptiest hosts the last choice for as long as the
// others have room to spare, so that they empty and can be returned. spareShare
// of the whole room stays open for work to come.
func DeprioritizeSurplus(hosts []*Host, spareShare float64) {
	order := slices.Clone(hosts)
	slices.SortStableFunc(order, func(a, b *Host) int {
		return cmp.Or(cmp.Compare(b.PricePremium, a.PricePremium), cmp.Compare(a.Capacity.CPUs-a.Free.CPUs, b.Capacity.CPUs-b.Free.CPUs))
	})
	total, spare := 0.0, 0.0
	for _, h := range hosts {
		total += h.Capacity.CPUs
		spare += max(0, h.Free.CPUs)
	}
	for _, h := range order {
		if spare -= max(0, h.Free.CPUs); spare < total*spareShare {
			return
		}
		h.Penalty += surplusPenalty
	}
}

// surplusPenalty outweighs all other preferences.
const surplusPenalty = 8

// Reserve keeps up to n hosts free of other tasks for a job that found no room, so
// that smaller tasks do not take every gap before a large one opens, and tells which.
// They are the first of the smallest type that holds a task, full ones too: every
// controller keeps the same ones, or each would fill what another keeps. No more than
// a part of the hosts of a type is kept, for all jobs together.
func Reserve(s *job.Spec, n int, zones Zones, hosts []*Host) []*Host {
	able := func(h *Host) bool {
		return h.RemainingS < 0 && ZoneAllowed(s, h.Zone, zones) && s.Allows(h.Type, h.Zone, h.Spot) && s.Need.Fits(h.Capacity) && !h.Excludes(s)
	}
	size, all, kept := math.Inf(1), 0, 0
	for _, h := range hosts {
		if able(h) {
			size = min(size, h.Capacity.CPUs)
		}
	}
	for _, h := range hosts {
		if h.Capacity.CPUs == size {
			all++
			if h.Reserved {
				kept++
			}
		}
	}
	var out []*Host
	for _, h := range hosts {
		if len(out) == n || kept > 0 && float64(kept) >= maxReservedShare*float64(all) {
			break
		}
		if able(h) && h.Capacity.CPUs == size && !h.Reserved {
			kept++
			h.Reserved = true
			out = append(out, h)
		}
	}
	return out
}

// maxReservedShare is the part of the hosts of a type that may be kept.
const maxReservedShare = 1.0 / 2

// ReserveForGang holds hosts with room for a gang of n tasks that finds none: in the zone where
// most have room already, if as many could ever have, and no more than it needs. Since
// nothing else takes them meanwhile, they only get more.
func ReserveForGang(s *job.Spec, n int, hosts []*Host) {
	free, able := map[string][]*Host{}, map[string]int{}
	for _, h := range hosts {
		zone := ""
		if s.OneZone {
			zone = h.Zone
		}
		if h.RemainingS < 0 && s.Allows(h.Type, h.Zone, h.Spot) {
			able[zone] += FitCount(s.Need, h.Capacity)
			if !h.Reserved && !h.reservedForLarger(s) && !h.Excludes(s) && s.Need.Fits(h.Free) {
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
		h.ReservedForGang = s.ID
		n -= FitCount(s.Need, h.Free)
	}
}

// FitCount is how many like tasks fit into room.
func FitCount(need, room job.Resources) int {
	n := float64(job.MaxTasks)
	for _, r := range [][2]float64{{need.CPUs, room.CPUs}, {need.GPUs, room.GPUs}, {need.MemoryGB, room.MemoryGB}} {
		if r[0] > 0 {
			n = math.Min(n, math.Floor(r[1]/r[0]+1e-6))
		}
	}
	return int(max(0, n))
}

// PlaceGang places n tasks of a job, all or none. The hosts' room is taken only if
// all find a place.
func PlaceGang(s *job.Spec, n int, hosts []*Host, zones Zones) []*Host {
	if !s.OneZone {
		return placeTogether(s, n, hosts, zones)
	}
	for _, zone := range zonesOf(hosts) {
		in := slices.DeleteFunc(slices.Clone(hosts), func(h *Host) bool { return h.Zone != zone })
		if out := placeTogether(s, n, in, zones); out != nil {
			return out
		}
	}
	return nil
}

func placeTogether(s *job.Spec, n int, hosts []*Host, before Zones) []*Host {
	zones := Zones{}
	maps.Copy(zones, before)
	var out []*Host
	for range n {
		h := Choose(s, hosts, zones)
		if h == nil {
			for _, taken := range out {
				taken.Free = taken.Free.Plus(s.Need, 1)
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
