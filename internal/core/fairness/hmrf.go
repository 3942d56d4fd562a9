// Package fairness ranks teams by H-MRF, long-term multi-resource fairness.
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
		if d := r.Use[i] / r.Base[i]; !asked || d < least {
			least, asked = d, true
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
	for _, w := range weights {
		total += w
	}
	out := make([]Vector, len(weights))
	for i, w := range weights {
		part := 1 / float64(len(weights))
		if total > 0 {
			part = w / total
		}
		out[i] = Vector{}.Add(capacity, part)
	}
	return out
}

// tolerance makes two degrees or uses equal that differ by rounding only.
const tolerance = 1e-9

// Next picks the team whose turn it is among teams, or -1 when there is none.
// skip marks teams that do not take part.
func Next(teams []Team, skip []bool, capacity Vector) int {
	if i := lowest(teams, skip, overdueKey); i >= 0 && teams[i].Overdue {
		return i
	}
	if i := lowest(teams, skip, degreeKey); i >= 0 && teams[i].Record.Degree() < 1-tolerance {
		return i
	}
	least := lowest(teams, skip, func(t *Team) float64 { return sumUse(t, capacity) })
	if least < 0 {
		return -1
	}
	bound := sumUse(&teams[least], capacity) + tolerance
	tied := make([]bool, len(teams))
	for i := range teams {
		tied[i] = skip[i] || sumUse(&teams[i], capacity) > bound
	}
	return lowest(teams, tied, func(t *Team) float64 { return dominant(t, capacity) })
}

func lowest(teams []Team, skip []bool, key func(*Team) float64) int {
	best := -1
	for i := range teams {
		if !skip[i] && (best < 0 || key(&teams[i]) < key(&teams[best])-tolerance) {
			best = i
		}
	}
	return best
}

func overdueKey(t *Team) float64 {
	if t.Overdue {
		return t.Record.Degree()
	}
	return t.Record.Degree() + 1e12
}

func degreeKey(t *Team) float64 { return t.Record.Degree() }

func sumUse(t *Team, capacity Vector) float64 {
	sum := 0.0
	for i, c := range capacity {
		if c > 0 {
			sum += t.Record.Use[i] / c
		}
	}
	return sum
}

func dominant(t *Team, capacity Vector) float64 {
	most := 0.0
	for i, c := range capacity {
		if c > 0 {
			most = max(most, t.Record.Use[i]/(c*max(t.Weight, tolerance)))
		}
	}
	return most
}
