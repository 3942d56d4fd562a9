package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"pepperlever/internal/core/job"
)

// Picker chooses hosts for like tasks of one job, best first. It ranks the hosts once for as
// many tasks as wait, not anew for each of them: a host that was the best stays so while it has
// room, since it only gets fuller.
type Picker struct {
	spec   *job.Spec
	hosts  []*Host
	ranked []rankedHost
	// complete is set when ranked holds every host that can take a task.
	complete bool
}

// rankedHost is a host with its score, and its place among the hosts.
type rankedHost struct {
	host  *Host
	score float64
	index int
}

// NewPicker makes a Picker for the tasks of a job.
func NewPicker(s *job.Spec, hosts []*Host) *Picker { return &Picker{spec: s, hosts: hosts} }

// Next is the host for the next of n tasks, or nil. The caller takes its room.
func (p *Picker) Next(n int, zones Zones) *Host {
	for {
		for len(p.ranked) > 0 {
			if h := p.ranked[0].host; Allowed(p.spec, h, zones) {
				return h
			}
			p.ranked = p.ranked[1:]
		}
		if p.complete {
			return nil
		}
		p.rank(max(n, 1), zones)
	}
}

// rank finds the n best hosts.
func (p *Picker) rank(n int, zones Zones) {
	best := worstFirst{}
	for i, h := range p.hosts {
		if !Suits(p.spec, h, zones) {
			continue
		}
		candidate := rankedHost{h, score(p.spec, h), i}
		switch {
		case len(best) < n:
			heap.Push(&best, candidate)
		case compareRanked(candidate, best[0]) < 0:
			best[0] = candidate
			heap.Fix(&best, 0)
		}
	}
	p.complete = len(best) < n
	slices.SortFunc(best, compareRanked)
	p.ranked = best
}

// compareRanked orders by score, the best first; equals stay in the order of the hosts.
func compareRanked(a, b rankedHost) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
}

// worstFirst is a heap with the worst of the chosen hosts on top.
type worstFirst []rankedHost

// Len implements sort.Interface.
func (w worstFirst) Len() int { return len(w) }

// Less implements sort.Interface.
func (w worstFirst) Less(i, j int) bool { return compareRanked(w[i], w[j]) > 0 }

// Swap implements sort.Interface.
func (w worstFirst) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push implements heap.Interface.
func (w *worstFirst) Push(x any) { *w = append(*w, x.(rankedHost)) }

// Pop implements heap.Interface.
func (w *worstFirst) Pop() any {
	last := (*w)[len(*w)-1]
	*w = (*w)[:len(*w)-1]
	return last
}

// WithFreeCPUs lists the hosts that have room for any task at all.
func WithFreeCPUs(hosts []*Host) []*Host {
	out := make([]*Host, 0, len(hosts))
	for _, h := range hosts {
		if h.Free.CPUs > 0 || h.Capacity.CPUs <= 0 {
			out = append(out, h)
		}
	}
	return out
}
