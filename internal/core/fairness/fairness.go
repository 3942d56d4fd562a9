// Package fairness ranks teams by H-MRF, a long-term fairness over several resources.
package fairness

// Vector holds an amount of each resource: CPUs, GPUs and memory.
type Vector [3]float64

// Add returns v + n*o.
func (v Vector) Add(o Vector, n float64) Vector {
	for i := range v {
		v[i] += n * o[i]
	}
	return v
}

// Record is what is remembered of one team within a window.
type Record struct {
	// Window numbers the tumbling window that the integrals belong to.
	Window int64 `json:"w"`
	// Use integrates the resources in use, Base the lesser of demand and
	// share, each over the seconds of the window.
	Use  Vector `json:"u"`
	Base Vector `json:"b"`
}

// Advance integrates dt seconds of use and demand. A new window forgets.
func (r *Record) Advance(window int64, dt float64, use, demand, share Vector) {
	if window != r.Window {
		*r = Record{Window: window}
	}
	for i := range use {
		r.Use[i] += use[i] * dt
		r.Base[i] += min(demand[i], share[i]) * dt
	}
}

// Degree is the sharing degree: the least, over the resources asked for, of
// use over the baseline without sharing. A team that asked for nothing has 1.
func (r *Record) Degree() float64 {
	least, asked := 0.0, false
	for i := range r.Use {
		if r.Base[i] <= 0 {
			continue
		}
		degree := r.Use[i] / r.Base[i]
		if !asked || degree < least {
			least, asked = degree, true
		}
	}
	if !asked {
		return 1
	}
	return least
}

// Team is a waiting team as the ranking sees it.
type Team struct {
	Record Record
	Weight float64
	// Overdue is set when the team has waited for the time-out.
	Overdue bool
}

// Shares splits capacity by weight. Teams without any guarantee share equally.
func Shares(capacity Vector, weights []float64) []Vector {
	total := 0.0
	for _, weight := range weights {
		total += weight
	}
	shares := make([]Vector, len(weights))
	for i, weight := range weights {
		part := 1 / float64(len(weights))
		if total > 0 {
			part = weight / total
		}
		shares[i] = Vector{}.Add(capacity, part)
	}
	return shares
}

const (
	// tolerance makes two degrees or uses equal that differ by rounding only.
	tolerance = 1e-9
	// notOverdue is added to the degree of teams that are not overdue, so that they come after
	// all that are.
	notOverdue = 1e12
)

// Next picks the team to be served next among teams, or -1 when there is none: an overdue one,
// or else the one that sharing costs most, or else the one that has used least. skip marks
// teams that do not take part.
func Next(teams []Team, skip []bool, capacity Vector) int {
	if i := lowest(teams, skip, overdueDegree); i >= 0 && teams[i].Overdue {
		return i
	}
	if i := lowest(teams, skip, degree); i >= 0 && teams[i].Record.Degree() < 1-tolerance {
		return i
	}
	least := lowest(teams, skip, func(t *Team) float64 { return t.totalUse(capacity) })
	if least < 0 {
		return -1
	}
	bound := teams[least].totalUse(capacity) + tolerance
	skipOthers := make([]bool, len(teams))
	for i := range teams {
		skipOthers[i] = skip[i] || teams[i].totalUse(capacity) > bound
	}
	return lowest(teams, skipOthers, func(t *Team) float64 { return t.dominantUse(capacity) })
}

// lowest finds the first team with the lowest key, or -1 when all are skipped.
func lowest(teams []Team, skip []bool, key func(*Team) float64) int {
	best := -1
	for i := range teams {
		if !skip[i] && (best < 0 || key(&teams[i]) < key(&teams[best])-tolerance) {
			best = i
		}
	}
	return best
}

// degree is a team's sharing degree.
func degree(t *Team) float64 { return t.Record.Degree() }

// overdueDegree puts overdue teams before all others, by their degree.
func overdueDegree(t *Team) float64 {
	if t.Overdue {
		return t.Record.Degree()
	}
	return t.Record.Degree() + notOverdue
}

// totalUse sums up the parts of the capacity that a team uses of each resource.
func (t *Team) totalUse(capacity Vector) float64 {
	sum := 0.0
	for i, c := range capacity {
		if c > 0 {
			sum += t.Record.Use[i] / c
		}
	}
	return sum
}

// dominantUse is the largest part of the capacity that a team uses of any resource, by its
// weight.
func (t *Team) dominantUse(capacity Vector) float64 {
	most := 0.0
	for i, c := range capacity {
		if c > 0 {
			most = max(most, t.Record.Use[i]/(c*max(t.Weight, tolerance)))
		}
	}
	return most
}
