package federation

import (
	"cmp"
	"container/heap"
	"time"
)

// retryKey names something that a peer is told until it answers.
type retryKey struct {
	// epoch is of this site if it is outgoing, or of the peer.
	epoch    Epoch
	outgoing bool
}

// retry is something to be told, with its next time.
type retry struct {
	retryKey
	due      time.Duration
	attempts int
	// index is its place in the heap.
	index int
}

// retryQueue orders what is to be told to a peer by its time.
type retryQueue struct {
	heap  retryHeap
	byKey map[retryKey]*retry
}

// schedule gives a key its next time.
func (q *retryQueue) schedule(key retryKey, due time.Duration, attempts int) {
	if r := q.byKey[key]; r != nil {
		r.due, r.attempts = due, attempts
		heap.Fix(&q.heap, r.index)
		return
	}
	if q.byKey == nil {
		q.byKey = map[retryKey]*retry{}
	}
	r := &retry{retryKey: key, due: due, attempts: attempts}
	q.byKey[key] = r
	heap.Push(&q.heap, r)
}

// scheduleIfMissing makes a key due at once, unless it is queued.
func (q *retryQueue) scheduleIfMissing(key retryKey) {
	if q.byKey[key] == nil {
		q.schedule(key, 0, 0)
	}
}

// expedite makes everything due by now.
func (q *retryQueue) expedite(now time.Duration) {
	for _, r := range q.heap {
		r.due = min(r.due, now)
	}
	heap.Init(&q.heap)
}

// remove removes a key.
func (q *retryQueue) remove(key retryKey) {
	if r := q.byKey[key]; r != nil {
		heap.Remove(&q.heap, r.index)
		delete(q.byKey, key)
	}
}

// retain removes the keys that a function does not keep.
func (q *retryQueue) retain(keep func(retryKey) bool) {
	for key := range q.byKey {
		if !keep(key) {
			q.remove(key)
		}
	}
}

// next is what is due first by now, or nil.
func (q *retryQueue) next(now time.Duration) *retry {
	if len(q.heap) == 0 || q.heap[0].due > now {
		return nil
	}
	return q.heap[0]
}

// retryHeap is a heap by due time; of those due together the outgoing come first, then by epoch.
type retryHeap []*retry

// Len implements heap.Interface.
func (h retryHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h retryHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.due != b.due {
		return a.due < b.due
	}
	if a.outgoing != b.outgoing {
		return a.outgoing
	}
	return cmp.Less(a.epoch, b.epoch)
}

// Swap implements heap.Interface.
func (h retryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *retryHeap) Push(x any) {
	r := x.(*retry)
	r.index = len(*h)
	*h = append(*h, r)
}

// Pop implements heap.Interface.
func (h *retryHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
