// Package fairness ranks teams by H-MRF, a long-term fairness policy for multiple resources.
package fairness

// Vector holds an amount of each resource: CPUs, GPUs and memory in GB.
type Vector [3]float64

// Add returns v + factor*other.
func (v Vector) Add(other Vector, factor float64) Vector {
	for i := range v {
		v[i] += factor * other[i]
	}
	return v
}

// Record accumulates the resource usage of one team within a time window.
type Record struct {
	// Window is the number of the tumbling window that the integrals cover.
	Window int64 `json:"w"`
	// Use is the integral of the resources in use over the seconds of the window. Baseline is the
	// integral of what the team would use without sharing: the lesser of its demand and its share.
	Use      Vector `json:"u"`
	Baseline Vector `json:"b"`
}

// Accumulate adds dt seconds of use and demand. If window differs from the record's window, it starts
// from zero.
func (r *Record) Accumulate(window int64, dt float64, use, demand, share Vector) {
	if window != r.Window {
		*r = Record{Window: window}
	}
	for i := range use {
		r.Use[i] += use[i] * dt
		r.Baseline[i] += min(demand[i], share[i]) * dt
	}
}

// Degree returns the sharing degree: the minimum ratio of use to baseline over all requested
// resources. Below 1 the team loses by sharing. A team that requested nothing has degree 1.
func (r *Record) Degree() float64 {
	minDegree, requested := 0.0, false
	for i := range r.Use {
		if r.Baseline[i] <= 0 {
			continue
		}
		degree := r.Use[i] / r.Baseline[i]
		if !requested || degree < minDegree {
			minDegree, requested = degree, true
		}
	}
	if !requested {
		return 1
	}
	return minDegree
}

// Team is the input to the ranking for a team with pending jobs.
type Team struct {
	Record Record
	Weight float64
	// Overdue is set when a job of the team has waited longer than the timeout.
	Overdue bool
}

// Shares divides the capacity in proportion to the weights, or equally if all weights are 0.
func Shares(capacity Vector, weights []float64) []Vector {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	shares := make([]Vector, len(weights))
	for i, weight := range weights {
		fraction := 1 / float64(len(weights))
		if total > 0 {
			fraction = weight / total
		}
		shares[i] = Vector{}.Add(capacity, fraction)
	}
	return shares
}

const (
	// tolerance is the difference up to which two degrees or uses count as equal, since sums
	// are rounded. It is also the minimum weight in divisions, since a weight may be 0.
	tolerance = 1e-9
	// notOverdueOffset is added to the degree of teams that are not overdue, so that they rank
	// after all overdue ones.
	notOverdueOffset = 1e12
)

// Next returns the index of the team to serve next, or -1 if there is none. Overdue teams come first,
// the one with the lowest sharing degree before the others. Then comes the team with the lowest
// sharing degree below 1, then the team with the least total use, with ties broken by dominant use.
// Teams marked in skip are left out.
func Next(teams []Team, skip []bool, capacity Vector) int {
	if i := lowest(teams, skip, overdueDegree); i >= 0 && teams[i].Overdue {
		return i
	}
	if i := lowest(teams, skip, sharingDegree); i >= 0 && teams[i].Record.Degree() < 1-tolerance {
		return i
	}
	leastUsed := lowest(teams, skip, func(t *Team) float64 { return t.totalUse(capacity) })
	if leastUsed < 0 {
		return -1
	}
	maxUse := teams[leastUsed].totalUse(capacity) + tolerance
	skipOthers := make([]bool, len(teams))
	for i := range teams {
		skipOthers[i] = skip[i] || teams[i].totalUse(capacity) > maxUse
	}
	return lowest(teams, skipOthers, func(t *Team) float64 { return t.dominantUse(capacity) })
}

// lowest returns the index of the first team with the lowest key, or -1 if all are skipped.
func lowest(teams []Team, skip []bool, key func(*Team) float64) int {
	best := -1
	for i := range teams {
		if !skip[i] && (best < 0 || key(&teams[i]) < key(&teams[best])-tolerance) {
			best = i
		}
	}
	return best
}

// sharingDegree returns a team's sharing degree.
func sharingDegree(t *Team) float64 { return t.Record.Degree() }

// overdueDegree returns a key that ranks overdue teams before all others, and each group by degree.
func overdueDegree(t *Team) float64 {
	if t.Overdue {
		return t.Record.Degree()
	}
	return t.Record.Degree() + notOverdueOffset
}

// totalUse returns the sum over all resources of a team's use relative to the capacity.
func (t *Team) totalUse(capacity Vector) float64 {
	sum := 0.0
	for i, c := range capacity {
		if c > 0 {
			sum += t.Record.Use[i] / c
		}
	}
	return sum
}

// dominantUse returns the maximum over all resources of a team's use relative to the capacity,
// divided by the team's weight.
func (t *Team) dominantUse(capacity Vector) float64 {
	largest := 0.0
	for i, c := range capacity {
		if c > 0 {
			largest = max(largest, t.Record.Use[i]/(c*max(t.Weight, tolerance)))
		}
	}
	return largest
}
