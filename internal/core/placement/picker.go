package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"pepperlever/internal/core/job"
)

// Picker chooses hosts for identical tasks of one job, best first. It ranks the hosts once for all
// pending tasks instead of once per task: the best host remains the best while the next task fits,
// since hosts that are filled further score higher.
type Picker struct {
	spec   *job.Spec
	hosts  []*Host
	ranked []rankedHost
	// complete is set when the latest ranking included every feasible host.
	complete bool
	// taken holds the hosts that Take has returned.
	taken map[*Host]bool
}

// rankedHost is a host with its score and its index in the list of hosts.
type rankedHost struct {
	host  *Host
	score float64
	index int
}

// NewPicker returns a Picker for the tasks of a job.
func NewPicker(s *job.Spec, hosts []*Host) *Picker { return &Picker{spec: s, hosts: hosts} }

// Next returns the host for the next of n pending tasks, or nil if no host is feasible. The caller
// allocates the resources.
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

// Take returns the same host as Next, but returns each host only once, so that a loop over it ends
// whatever the caller allocates.
func (p *Picker) Take(n int, zones Zones) *Host {
	host := p.Next(n, zones)
	if host == nil {
		return nil
	}
	if p.taken == nil {
		p.taken = map[*Host]bool{}
	}
	p.taken[host] = true
	p.ranked = p.ranked[1:]
	return host
}

// rank sets ranked to the n best feasible hosts that have not been taken.
func (p *Picker) rank(n int, zones Zones) {
	best := worstFirst{}
	for i, h := range p.hosts {
		if p.taken[h] || !Feasible(p.spec, h, zones) {
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

// compareRanked orders hosts by descending score, and hosts with equal scores by index.
func compareRanked(a, b rankedHost) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
}

// worstFirst is a heap of the best hosts found so far, with the worst of them on top.
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

// WithFreeCPUs returns the hosts with free CPUs, those whose type has no CPUs, and those on which a task
// that needs the given CPUs fits: a task may need none.
func WithFreeCPUs(hosts []*Host, leastNeed float64) []*Host {
	withFreeCPUs := make([]*Host, 0, len(hosts))
	for _, h := range hosts {
		if h.Free.CPUs > 0 || h.Capacity.CPUs <= 0 || job.AmountFits(leastNeed, h.Free.CPUs) {
			withFreeCPUs = append(withFreeCPUs, h)
		}
	}
	return withFreeCPUs
}
