package placement

import (
	"cmp"
	"container/heap"
	"slices"

	"pepperlever/internal/core/job"
)

// Picker chooses hosts for like tasks of one job, best first. It weighs the
// hosts once for as many tasks as wait, not anew for each of them: a host that
// was the best stays so while it has room, since it only gets fuller.
type Picker struct {
	spec   *job.Spec
	hosts  []*Host
	ranked []scored
	// complete is set when best holds every host that can take a task.
	complete bool
}

type scored struct {
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
	top := worstFirst{}
	for i, h := range p.hosts {
		if !Suits(p.spec, h, zones) {
			continue
		}
		s := scored{h, score(p.spec, h), i}
		switch {
		case len(top) < n:
			heap.Push(&top, s)
		case better(s, top[0]) < 0:
			top[0] = s
			heap.Fix(&top, 0)
		}
	}
	p.complete = len(top) < n
	slices.SortFunc(top, better)
	p.ranked = top
}

// better orders by score; equals stay in the order of the hosts.
func better(a, b scored) int {
	return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.index, b.index))
}

// worstFirst is a heap with the worst of the chosen hosts on top.
type worstFirst []scored

func (w worstFirst) Len() int           { return len(w) }
func (w worstFirst) Less(i, j int) bool { return better(w[i], w[j]) > 0 }
func (w worstFirst) Swap(i, j int)      { w[i], w[j] = w[j], w[i] }
func (w *worstFirst) Push(x any)        { *w = append(*w, x.(scored)) }
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
