package federation

import (
	"cmp"
	"container/heap"
	"time"
)

// retryKey is something that is told to a peer until it is answered.
type retryKey struct {
	// epoch is of this site (out) or of the peer.
	epoch    Epoch
	outgoing bool
}

// retry is an item with its next time.
type retry struct {
	retryKey
	due      time.Duration
	attempts int
	index    int
}

// retryQueue orders what is to be told to a peer by its time.
type retryQueue struct {
	heap  []*retry
	byKey map[retryKey]*retry
}

func (a *retryQueue) Len() int { return len(a.heap) }

func (a *retryQueue) Less(i, j int) bool {
	x, y := a.heap[i], a.heap[j]
	if x.due != y.due {
		return x.due < y.due
	}
	if x.outgoing != y.outgoing {
		return x.outgoing
	}
	return cmp.Less(x.epoch, y.epoch)
}

func (a *retryQueue) Swap(i, j int) {
	a.heap[i], a.heap[j] = a.heap[j], a.heap[i]
	a.heap[i].index, a.heap[j].index = i, j
}

// Push and Pop are for package heap.
func (a *retryQueue) Push(x any) {
	e := x.(*retry)
	e.index = len(a.heap)
	a.heap = append(a.heap, e)
}

func (a *retryQueue) Pop() any {
	last := len(a.heap) - 1
	e := a.heap[last]
	a.heap[last] = nil
	a.heap = a.heap[:last]
	return e
}

// schedule gives an item its next time.
func (a *retryQueue) schedule(i retryKey, due time.Duration, tries int) {
	if e := a.byKey[i]; e != nil {
		e.due, e.attempts = due, tries
		heap.Fix(a, e.index)
		return
	}
	if a.byKey == nil {
		a.byKey = map[retryKey]*retry{}
	}
	e := &retry{retryKey: i, due: due, attempts: tries}
	a.byKey[i] = e
	heap.Push(a, e)
}

// expedite makes everything due by now.
func (a *retryQueue) expedite(now time.Duration) {
	for _, e := range a.heap {
		e.due = min(e.due, now)
	}
	heap.Init(a)
}

// remove removes an item.
func (a *retryQueue) remove(i retryKey) {
	if e := a.byKey[i]; e != nil {
		heap.Remove(a, e.index)
		delete(a.byKey, i)
	}
}

// first is the item whose time comes first, or nil.
func (a *retryQueue) first() *retry {
	if len(a.heap) == 0 {
		return nil
	}
	return a.heap[0]
}
