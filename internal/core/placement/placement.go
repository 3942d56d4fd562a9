// Package placement chooses machines for tasks.
package placement

import (
	"cmp"
	"math"
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

const (
	// maxReportBytes leaves an eighth of a request for what a report says beside its tasks,
	// and for a task that was not foreseen.
	maxReportBytes = protocol.MaxBody * 7 / 8
	// taskOverheadBytes is what a task takes in a report beside its name.
	taskOverheadBytes = 6
	// maxReservedShare is the part of the hosts of a type that may be reserved.
	maxReservedShare = 1.0 / 2
	// fitTolerance lets a task fit that does so but for rounding.
	fitTolerance = 1e-6
)

// The weights of a host's score.
const (
	// surplusPenalty outweighs all other preferences.
	surplusPenalty = 8
	// gpuWastePenalty outweighs that an image is there: a replica stays where it is for long,
	// and would hold the accelerators that the next job needs.
	gpuWastePenalty = 2 * surplusPenalty
	sizePenalty     = 2
	emptyPenalty    = 1
	imageBonus      = 2
	// urgentImageBonus is for work that waits for little else than its fetch: it goes where
	// the image is even to a host that is to be emptied.
	urgentImageBonus = surplusPenalty + 4
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
	// RelativeSize is its size relative to the largest type: small tasks go to small machines
	// while there is a choice, since large ones need the others.
	RelativeSize float64
	// PricePremium is its price beyond that of the cheapest kind, up to 1.
	PricePremium float64
	// GPUShare is its accelerators relative to the type that has most.
	GPUShare float64
	// PreemptionLoss is the least work, in CPU seconds, that is lost where one task is stopped
	// to make room here, and PreemptionLossPerCPU the least for each CPU.
	PreemptionLoss, PreemptionLossPerCPU float64
	// ReportBytes is about how many bytes its report will have. A report may not be longer
	// than a request, so a machine can't take any number of tiny tasks.
	ReportBytes int
	// Reserved is set while it is reserved for a task that needs more room.
	Reserved bool
	// PriorReservation is what it was reserved for in the round before, so that nothing that
	// asks for less and comes first has its room.
	PriorReservation job.Resources
	// GPUOnly is set while the host is for tasks that ask for accelerators alone, ServicesOnly
	// while it is for services.
	GPUOnly, ServicesOnly bool
	// ReservedForGang names the gang that the host is reserved for.
	ReservedForGang string
}

// Take puts a task of a job on the host.
func (h *Host) Take(s *job.Spec) {
	h.Free = h.Free.Plus(s.Need, -1)
	h.Empty = false
	h.ReportBytes += protocol.TaskBytes(s.ID) + taskOverheadBytes
}

// reservedForLarger tells whether the host was reserved for a task that needs more than this
// one.
func (h *Host) reservedForLarger(s *job.Spec) bool {
	return h.PriorReservation != (job.Resources{}) && !h.PriorReservation.Fits(s.Need)
}

// Excludes tells whether the host is reserved for work of another kind, or for another gang.
func (h *Host) Excludes(s *job.Spec) bool {
	return h.excludesKind(s) || h.ReservedForGang != "" && h.ReservedForGang != s.ID
}

// excludesKind tells whether the host is reserved for work of another kind.
func (h *Host) excludesKind(s *job.Spec) bool {
	return h.GPUOnly && s.Need.GPUs == 0 || h.ServicesOnly && s.Kind != job.Service
}

// isLimited tells whether the host is known to go.
func (h *Host) isLimited() bool { return h.RemainingS >= 0 }

// Zones counts the tasks of a job that are bound in each zone.
type Zones map[string]int

// UnknownZone counts the tasks on machines whose zone is not known.
const UnknownZone = "?"

// Allowed tells whether one more task of the job may go to a host, given where its other tasks
// are.
func Allowed(s *job.Spec, h *Host, zones Zones) bool {
	if h.Reserved || h.ReportBytes > maxReportBytes || h.reservedForLarger(s) || h.Excludes(s) {
		return false
	}
	if !s.Allows(h.Type, h.Zone, h.Spot) || !s.Need.Fits(h.Free) {
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
		for other, tasks := range zones {
			if tasks > 0 && other != zone {
				return 0
			}
		}
	}
	if !s.Spread {
		return job.MaxTasks
	}
	// A task whose zone is not known may be in this one, so it counts in every zone.
	half := (s.Tasks + 1) / 2
	return max(0, half-zones[zone]-zones[UnknownZone])
}

// Suits tells whether one more task of the job may go to a host and is likely
// to end before the host is taken away.
func Suits(s *job.Spec, h *Host, zones Zones) bool {
	return Allowed(s, h, zones) && (!h.isLimited() || h.RemainingS >= s.EstimateS+s.SaveS)
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

// score prefers hosts that have the image, and then those that are full, cheap and small, so
// that the others empty and can be returned.
func score(s *job.Spec, h *Host) float64 {
	left := h.Free.Plus(s.Need, -1)
	score := -h.Penalty - h.PricePremium - sizePenalty*h.RelativeSize
	if h.Capacity.CPUs > 0 {
		score -= left.CPUs / h.Capacity.CPUs
	}
	if h.Capacity.MemoryGB > 0 {
		score -= left.MemoryGB / h.Capacity.MemoryGB
	}
	if h.Images != nil && h.Images.HasImage(s.Image) {
		score += bonusForImage(s)
	}
	if h.Empty {
		score -= emptyPenalty
	}
	if s.Need.GPUs == 0 {
		score -= gpuWastePenalty * h.GPUShare
	}
	return score
}

// bonusForImage is what it is worth to a job that a host has its image.
func bonusForImage(s *job.Spec) float64 {
	if s.AboveNormal() {
		return urgentImageBonus
	}
	return imageBonus
}

// DeprioritizeSurplus makes the most expensive and emptiest hosts the last choice for as long
// as the others have room to spare, so that they empty and can be returned. spareShare of the
// whole room stays open for work to come.
func DeprioritizeSurplus(hosts []*Host, spareShare float64) {
	order := slices.Clone(hosts)
	slices.SortStableFunc(order, func(a, b *Host) int {
		return cmp.Or(
			cmp.Compare(b.PricePremium, a.PricePremium),
			cmp.Compare(a.Capacity.CPUs-a.Free.CPUs, b.Capacity.CPUs-b.Free.CPUs),
		)
	})
	total, spare := 0.0, 0.0
	for _, h := range hosts {
		total += h.Capacity.CPUs
		spare += max(0, h.Free.CPUs)
	}
	for _, h := range order {
		spare -= max(0, h.Free.CPUs)
		if spare < total*spareShare {
			return
		}
		h.Penalty += surplusPenalty
	}
}

// FitCount is how many like tasks fit into what is free.
func FitCount(need, free job.Resources) int {
	count := float64(job.MaxTasks)
	limit := func(need, free float64) {
		if need > 0 {
			count = math.Min(count, math.Floor(free/need+fitTolerance))
		}
	}
	limit(need.CPUs, free.CPUs)
	limit(need.GPUs, free.GPUs)
	limit(need.MemoryGB, free.MemoryGB)
	return int(max(0, count))
}
