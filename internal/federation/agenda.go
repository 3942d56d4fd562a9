package federation

import (
	"cmp"
	"container/heap"
	"time"
)

// item is something that is told to a peer until it is answered.
type item struct {
	// epoch is of this site (out) or of the peer.
	epoch Epoch
	out   bool
}

// entry is an item with its next time.
type entry struct {
	item
	due   time.Duration
	tries int
	index int
}

// agenda orders what is to be told to a peer by its time.
type agenda struct {
	heap []*entry
	of   map[item]*entry
}

func (a *agenda) Len() int { return len(a.heap) }

func (a *agenda) Less(i, j int) bool {
	x, y := a.heap[i], a.heap[j]
	if x.due != y.due {
		return x.due < y.due
	}
	if x.out != y.out {
		return x.out
	}
	return cmp.Less(x.epoch, y.epoch)
}

func (a *agenda) Swap(i, j int) {
	a.heap[i], a.heap[j] = a.heap[j], a.heap[i]
	a.heap[i].index, a.heap[j].index = i, j
}

// Push and Pop are for package heap.
func (a *agenda) Push(x any) {
	e := x.(*entry)
	e.index = len(a.heap)
	a.heap = append(a.heap, e)
}

func (a *agenda) Pop() any {
	last := len(a.heap) - 1
	e := a.heap[last]
	a.heap[last] = nil
	a.heap = a.heap[:last]
	return e
}

// set gives an item its next time.
func (a *agenda) set(i item, due time.Duration, tries int) {
	if e := a.of[i]; e != nil {
		e.due, e.tries = due, tries
		heap.Fix(a, e.index)
		return
	}
	if a.of == nil {
		a.of = map[item]*entry{}
	}
	e := &entry{item: i, due: due, tries: tries}
	a.of[i] = e
	heap.Push(a, e)
}

// hasten makes everything due by now.
func (a *agenda) hasten(now time.Duration) {
	for _, e := range a.heap {
		e.due = min(e.due, now)
	}
	heap.Init(a)
}

// drop removes an item.
func (a *agenda) drop(i item) {
	if e := a.of[i]; e != nil {
		heap.Remove(a, e.index)
		delete(a.of, i)
	}
}

// first is the item whose time comes first, or nil.
func (a *agenda) first() *entry {
	if len(a.heap) == 0 {
		return nil
	}
	return a.heap[0]
}
