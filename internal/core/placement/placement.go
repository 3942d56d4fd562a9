// Package placement chooses machines for tasks.
package placement

import (
	"cmp"
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

const (
	// maxReportBytes leaves an eighth of the maximum request size for the other fields of a
	// report and for an unexpected task.
	maxReportBytes = protocol.MaxBody * 7 / 8
	// taskOverheadBytes is the maximum length of what a task ID has after the job ID, such as
	// "/99999".
	taskOverheadBytes = 6
	// maxReservedShare is the maximum fraction of the hosts of one size that may be reserved.
	maxReservedShare = 1.0 / 2
)

// Weights of the terms in a host's score.
const (
	// surplusPenalty outweighs all preferences except gpuWastePenalty and urgentImageBonus.
	surplusPenalty = 8
	// gpuWastePenalty outweighs the image bonus: a service replica stays on its host for a long
	// time and would block GPUs that the next job needs.
	gpuWastePenalty = 2 * surplusPenalty
	sizePenalty     = 2
	emptyPenalty    = 1
	imageBonus      = 2
	// urgentImageBonus applies to tasks whose start is delayed by little more than the image
	// pull. They go to a host with the image even if it is surplus and is being emptied.
	urgentImageBonus = surplusPenalty + 4
)

// Host is a machine that can take tasks, with its free resources.
type Host struct {
	ID, Type, Zone string
	Spot           bool
	Free, Capacity job.Resources
	// Images reports which images the host has or is fetching.
	Images interface{ HasImage(name string) bool }
	// Penalty lowers the score of unreliable or surplus hosts.
	Penalty float64
	// RemainingS is the number of seconds until the host is reclaimed. It is negative if no reclaim
	// is scheduled.
	RemainingS float64
	// Empty is set while no task is bound to the host.
	Empty bool
	// RelativeSize is the number of CPUs divided by that of the largest type. Tasks prefer small
	// hosts, so that large hosts remain free for large tasks.
	RelativeSize float64
	// PricePremium is the relative excess of the price per CPU over the cheapest kind, at most 1.
	PricePremium float64
	// GPUShare is the number of GPUs divided by that of the type with the most GPUs.
	GPUShare float64
	// PreemptionLoss is the least work, in CPU seconds, that is lost if one task on the host is
	// preempted. PreemptionLossPerCPU is the least work lost per CPU freed.
	PreemptionLoss, PreemptionLossPerCPU float64
	// ReportBytes is the estimated size of the host's next report. A report has to fit into one
	// request, which limits the number of tasks on the host however small they are.
	ReportBytes int
	// Reserved is set while the host is reserved for a task that did not fit on any host.
	Reserved bool
	// PriorReservation is the resource need that the host was reserved for in the previous
	// scheduling round. It keeps smaller tasks that are placed earlier in this round off the host.
	PriorReservation job.Resources
	// GPUOnly is set while the host accepts only tasks that request GPUs. ServicesOnly is set while
	// it accepts only services.
	GPUOnly, ServicesOnly bool
	// ReservedForGang is the ID of the gang job that the host is reserved for, or "".
	ReservedForGang string
}

// Allocate allocates resources on the host for one task of a job.
func (h *Host) Allocate(s *job.Spec) { h.AllocateTasks(s, 1) }

// AllocateTasks allocates resources on the host for n tasks of a job.
func (h *Host) AllocateTasks(s *job.Spec, n int) {
	h.Free = h.Free.Plus(s.Need, -float64(n))
	h.Empty = false
	h.ReportBytes += n * taskReportBytes(s)
}

// MaxTasks returns how many more tasks of a job the host can hold.
func (h *Host) MaxTasks(s *job.Spec) int { return maxTasks(s, h.Free, h.ReportBytes) }

// MaxTasksWhenEmpty returns how many tasks of a job the host could hold if it were empty.
func (h *Host) MaxTasksWhenEmpty(s *job.Spec) int { return MaxTasksOnEmpty(s, h.Capacity) }

// MaxTasksOnEmpty returns how many tasks of a job an empty host with the given capacity can hold.
func MaxTasksOnEmpty(s *job.Spec, capacity job.Resources) int { return maxTasks(s, capacity, 0) }

// maxTasks returns how many tasks of a job fit into the free resources and into a report that has the
// given size already.
func maxTasks(s *job.Spec, free job.Resources, reportBytes int) int {
	if reportBytes > maxReportBytes {
		return 0
	}
	inReport := 1 + (maxReportBytes-reportBytes)/taskReportBytes(s)
	return s.Need.FitCount(free, inReport)
}

// taskReportBytes estimates the size of one task of a job in a report.
func taskReportBytes(s *job.Spec) int { return protocol.MaxTaskReportBytes(s.ID) + taskOverheadBytes }

// reservedForLarger reports whether the host was reserved in the previous round for a task that
// needs more than a task of this job.
func (h *Host) reservedForLarger(s *job.Spec) bool {
	return h.PriorReservation != (job.Resources{}) && !h.PriorReservation.Fits(s.Need)
}

// Excludes reports whether the host is reserved for another kind of job or for another gang.
func (h *Host) Excludes(s *job.Spec) bool {
	return h.excludesKind(s) || h.ReservedForGang != "" && h.ReservedForGang != s.ID
}

// excludesKind reports whether the host is reserved for another kind of job.
func (h *Host) excludesKind(s *job.Spec) bool {
	return h.GPUOnly && s.Need.GPUs == 0 || h.ServicesOnly && s.Kind != job.Service
}

// isBeingReclaimed reports whether the cloud has announced that it will reclaim the host.
func (h *Host) isBeingReclaimed() bool { return h.RemainingS >= 0 }

// Zones is the number of bound tasks of a job in each zone.
type Zones map[string]int

// UnknownZone is the key in Zones for tasks on machines whose zone is unknown.
const UnknownZone = "?"

// Allowed reports whether one more task of a job may be placed on a host, given the zones of the
// job's other tasks.
func Allowed(s *job.Spec, h *Host, zones Zones) bool {
	if h.Reserved || h.ReportBytes > maxReportBytes || h.reservedForLarger(s) || h.Excludes(s) {
		return false
	}
	if !s.Allows(h.Type, h.Zone, h.Spot) || !s.Need.Fits(h.Free) {
		return false
	}
	return ZoneAllowed(s, h.Zone, zones)
}

// ZoneAllowed reports whether one more task of a job may be placed in a zone.
func ZoneAllowed(s *job.Spec, zone string, zones Zones) bool {
	return ZoneAllowance(s, zone, zones) > 0
}

// ZoneAllowance returns how many more tasks of a job may be placed in a zone, or job.MaxTasks if their
// number is not limited.
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
	// A task in an unknown zone could be in any zone, so it counts in every one.
	maxPerZone := (s.Tasks + 1) / 2
	return max(0, maxPerZone-zones[zone]-zones[UnknownZone])
}

// Feasible reports whether one more task of a job may be placed on a host and is expected to finish
// before the host is reclaimed.
func Feasible(s *job.Spec, h *Host, zones Zones) bool {
	return Allowed(s, h, zones) && (!h.isBeingReclaimed() || h.RemainingS >= s.EstimateS+s.SaveS)
}

// Choose returns the feasible host with the highest score, or nil if there is none.
func Choose(s *job.Spec, hosts []*Host, zones Zones) *Host {
	var best *Host
	bestScore := 0.0
	for _, h := range hosts {
		if !Feasible(s, h, zones) {
			continue
		}
		if score := score(s, h); best == nil || score > bestScore {
			best, bestScore = h, score
		}
	}
	return best
}

// score returns the preference for placing a task on a host; higher is better. Apart from Penalty and
// GPUs that the task would waste, it prefers hosts that have the image, and then full, cheap and small
// ones, so that the others drain and can be returned to the cloud.
func score(s *job.Spec, h *Host) float64 {
	remaining := h.Free.Plus(s.Need, -1)
	score := -h.Penalty - h.PricePremium - sizePenalty*h.RelativeSize
	if h.Capacity.CPUs > 0 {
		score -= remaining.CPUs / h.Capacity.CPUs
	}
	if h.Capacity.MemoryGB > 0 {
		score -= remaining.MemoryGB / h.Capacity.MemoryGB
	}
	if h.Images != nil && h.Images.HasImage(s.Image) {
		score += imageBonusFor(s)
	}
	if h.Empty {
		score -= emptyPenalty
	}
	if s.Need.GPUs == 0 {
		score -= gpuWastePenalty * h.GPUShare
	}
	return score
}

// imageBonusFor returns the score bonus of a host that has the job's image.
func imageBonusFor(s *job.Spec) float64 {
	if s.AboveNormal() {
		return urgentImageBonus
	}
	return imageBonus
}

// DeprioritizeSurplus penalizes the most expensive and least used hosts, as many as are not needed,
// so that they drain and can be returned to the cloud. The free CPUs of the remaining hosts stay at
// or above spareShare of the total capacity, for future tasks.
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
