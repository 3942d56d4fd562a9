package federation

import (
	"cmp"
	"container/heap"
	"time"
)

// retryKey identifies a message that is repeated until the peer acknowledges it.
type retryKey struct {
	// epoch was assigned by this site if outgoing is set, otherwise by the peer.
	epoch    Epoch
	outgoing bool
}

// retry is a queued message with the time of its next attempt.
type retry struct {
	retryKey
	due      time.Duration
	attempts int
	// index is the position in the heap.
	index int
}

// retryQueue is a priority queue of the messages to a peer, ordered by due time.
type retryQueue struct {
	heap  retryHeap
	byKey map[retryKey]*retry
}

// schedule sets the due time and the attempt count of a key, and adds the key if it is missing.
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

// scheduleIfMissing makes a key due immediately unless it is already queued.
func (q *retryQueue) scheduleIfMissing(key retryKey) {
	if q.byKey[key] == nil {
		q.schedule(key, 0, 0)
	}
}

// expedite makes every queued key due no later than now.
func (q *retryQueue) expedite(now time.Duration) {
	for _, r := range q.heap {
		r.due = min(r.due, now)
	}
	heap.Init(&q.heap)
}

// remove removes a key if it is queued.
func (q *retryQueue) remove(key retryKey) {
	if r := q.byKey[key]; r != nil {
		heap.Remove(&q.heap, r.index)
		delete(q.byKey, key)
	}
}

// retain removes the keys for which keep returns false.
func (q *retryQueue) retain(keep func(retryKey) bool) {
	for key := range q.byKey {
		if !keep(key) {
			q.remove(key)
		}
	}
}

// nextDue returns the first entry that is due without removing it, or nil if none is due.
func (q *retryQueue) nextDue(now time.Duration) *retry {
	if len(q.heap) == 0 || q.heap[0].due > now {
		return nil
	}
	return q.heap[0]
}

// retryHeap is a min-heap by due time. Entries with the same due time are ordered with outgoing
// ones first, then by epoch.
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
