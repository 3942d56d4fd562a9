package lookup

import (
	"cmp"
	"slices"
	"time"

	"pepperlever/internal/protocol"
)

// maxWait is the longest time that a request may be queued. Its caller times out after
// protocol.PollTimeout.
const maxWait = protocol.PollTimeout / 2

// maxBacklogSeconds bounds the queue length to what can be answered in that many seconds.
const maxBacklogSeconds = 4

// Limits holds the limits on the transactions that a queue may send.
type Limits struct {
	// Rate is the maximum number of transactions per second.
	Rate float64
	// Conditions is the maximum number of conditions per transaction.
	Conditions int
}

// Queue holds requests until the rate limit on store transactions allows them to be sent.
type Queue struct {
	// accepted holds the requests for jobs that are known to have been accepted, and unknown
	// all others. They are sent in separate transactions because one failed condition fails the
	// whole transaction, and conditions on unknown jobs fail often.
	accepted, unknown []Request
	// budget is how many transactions may be sent now. It is a token bucket that was last refilled
	// at refilledAt.
	budget     float64
	refilledAt time.Duration
}

// Len returns the number of queued requests for jobs that are known to have been accepted, and for
// all others.
func (q *Queue) Len() (accepted, unknown int) { return len(q.accepted), len(q.unknown) }

// Add queues a request.
func (q *Queue) Add(request Request, accepted bool) {
	if accepted {
		q.accepted = append(q.accepted, request)
		return
	}
	q.unknown = append(q.unknown, request)
}

// Requeue inserts requests at the front of the queue for accepted jobs, or of the one for all other
// jobs.
func (q *Queue) Requeue(requests []Request, accepted bool) {
	if accepted {
		q.accepted = slices.Concat(requests, q.accepted)
		return
	}
	q.unknown = slices.Concat(requests, q.unknown)
}

// Overloaded reports whether the oldest request has expired or more requests are queued than can be
// answered in maxBacklogSeconds. Callers would time out before further requests are answered.
func (q *Queue) Overloaded(now time.Duration, limits Limits) bool {
	return overloaded(q.accepted, now, limits) || overloaded(q.unknown, now, limits)
}

func overloaded(requests []Request, now time.Duration, limits Limits) bool {
	if len(requests) > 0 && Expired(requests[0], now) {
		return true
	}
	return float64(len(requests)) > maxBacklogSeconds*limits.Rate*float64(limits.Conditions)
}

// Expired reports whether a request has been queued for longer than maxWait.
func Expired(request Request, now time.Duration) bool { return now-request.Since > maxWait }

// Refill adds to the budget what the rate allows for the time since the last call, up to one
// second's worth.
func (q *Queue) Refill(now time.Duration, rate float64) {
	q.budget = min(q.budget+rate*(now-q.refilledAt).Seconds(), rate)
	q.refilledAt = now
}

// ChargeBudget charges the budget for one store request, even if the budget is exhausted. The
// budget may become negative.
func (q *Queue) ChargeBudget() { q.budget-- }

// Next removes and returns the batch of requests that the next transaction answers. It contains the
// oldest request. Next returns nil if no request is queued or the budget is exhausted.
func (q *Queue) Next(limits Limits) Batch {
	if q.budget < 1 || len(q.accepted)+len(q.unknown) == 0 {
		return nil
	}
	q.ChargeBudget()
	if q.isUnknownOldest() {
		return takeBatch(&q.unknown, limits.maxUnknownJobs(), false)
	}
	return takeBatch(&q.accepted, limits.Conditions, true)
}

// isUnknownOldest reports whether the oldest request is for a job that is not known to have been
// accepted.
func (q *Queue) isUnknownOldest() bool {
	if len(q.accepted) == 0 {
		return true
	}
	return len(q.unknown) > 0 && q.unknown[0].Since < q.accepted[0].Since
}

// maxUnknownJobs returns how many jobs that may not have been accepted one transaction can check.
// Each takes two conditions: that the job has no final state and that it is not active.
func (l Limits) maxUnknownJobs() int { return l.Conditions / 2 }

// TakeAcceptance removes and returns all requests with AcceptanceOnly for jobs that are not known to
// have been accepted, regardless of the budget, and charges the budget for them.
func (q *Queue) TakeAcceptance(limits Limits) []Batch {
	var urgent, rest []Request
	for _, request := range q.unknown {
		if request.AcceptanceOnly {
			urgent = append(urgent, request)
		} else {
			rest = append(rest, request)
		}
	}
	q.unknown = rest
	var batches []Batch
	for len(urgent) > 0 {
		q.ChargeBudget()
		batches = append(batches, takeBatch(&urgent, limits.maxUnknownJobs(), false))
	}
	return batches
}

// takeBatch removes the requests for the first n distinct jobs and returns them as a batch.
func takeBatch(from *[]Request, n int, accepted bool) Batch {
	byJob := map[string][]Request{}
	rest := (*from)[:0]
	for _, request := range *from {
		if _, listed := byJob[request.JobID]; listed || len(byJob) < n {
			byJob[request.JobID] = append(byJob[request.JobID], request)
		} else {
			rest = append(rest, request)
		}
	}
	clear((*from)[len(rest):])
	*from = rest
	batch := make(Batch, 0, len(byJob))
	for id, requests := range byJob {
		batch = append(batch, Group{JobID: id, Accepted: accepted, Requests: requests})
	}
	slices.SortFunc(batch, func(a, b Group) int { return cmp.Compare(a.JobID, b.JobID) })
	return batch
}
