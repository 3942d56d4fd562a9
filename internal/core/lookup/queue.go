package lookup

import (
	"cmp"
	"slices"
	"time"

	"pepperlever/internal/protocol"
)

// maxWait is how long a request waits at most: its caller gives up soon afterwards.
const maxWait = protocol.PollTimeout / 2

// backlogSeconds bounds the queue to the requests that can be answered in so many seconds.
const backlogSeconds = 4

// Limits are the bounds on what a queue may send.
type Limits struct {
	// Rate is the number of transactions a second.
	Rate float64
	// Conditions is the number of conditions that a transaction may have.
	Conditions int
}

// Queue holds requests until the rate of the store's transactions allows them to be sent.
type Queue struct {
	// accepted holds the requests for jobs that are known to have been accepted, unknown all
	// others. They are kept apart because one job that turns out otherwise fails the whole
	// transaction, and the unknown ones often do.
	accepted, unknown []Request
	// budget is how many transactions may be sent now, refilledAt when it last grew.
	budget     float64
	refilledAt time.Duration
}

// Len is the number of queued requests for jobs known to have been accepted, and for others.
func (q *Queue) Len() (accepted, unknown int) { return len(q.accepted), len(q.unknown) }

// Add queues a request.
func (q *Queue) Add(request Request, accepted bool) {
	if accepted {
		q.accepted = append(q.accepted, request)
		return
	}
	q.unknown = append(q.unknown, request)
}

// Requeue puts requests at the head of the queue of accepted jobs or of the other one.
func (q *Queue) Requeue(requests []Request, accepted bool) {
	if accepted {
		q.accepted = slices.Concat(requests, q.accepted)
		return
	}
	q.unknown = slices.Concat(requests, q.unknown)
}

// Overloaded tells whether requests wait for longer than their callers will, or are more
// than can be answered by then.
func (q *Queue) Overloaded(now time.Duration, limits Limits) bool {
	return overloaded(q.accepted, now, limits) || overloaded(q.unknown, now, limits)
}

func overloaded(requests []Request, now time.Duration, limits Limits) bool {
	if len(requests) > 0 && Expired(requests[0], now) {
		return true
	}
	return float64(len(requests)) > backlogSeconds*limits.Rate*float64(limits.Conditions)
}

// Expired tells whether the caller of a request will not wait any longer.
func Expired(request Request, now time.Duration) bool { return now-request.Since > maxWait }

// Refill adds to the budget what the rate allows since the last call.
func (q *Queue) Refill(now time.Duration, rate float64) {
	q.budget = min(q.budget+rate*(now-q.refilledAt).Seconds(), rate)
	q.refilledAt = now
}

// Spend charges the budget for a request to the store that cannot wait. The budget may become
// negative.
func (q *Queue) Spend() { q.budget-- }

// Next removes the requests that the next transaction answers, those that have waited longest
// first. It returns none while the budget is used up.
func (q *Queue) Next(limits Limits) Batch {
	if q.budget < 1 || len(q.accepted)+len(q.unknown) == 0 {
		return nil
	}
	q.Spend()
	if q.unknownFirst() {
		return take(&q.unknown, limits.unknownJobs(), false)
	}
	return take(&q.accepted, limits.Conditions, true)
}

// unknownFirst tells whether the request that has waited longest is for a job that is not
// known to have been accepted.
func (q *Queue) unknownFirst() bool {
	if len(q.accepted) == 0 {
		return true
	}
	return len(q.unknown) > 0 && q.unknown[0].Since < q.accepted[0].Since
}

// unknownJobs is how many jobs a transaction can check that may not have been accepted. Each
// takes two conditions: that there is neither a final state nor an active job.
func (l Limits) unknownJobs() int { return l.Conditions / 2 }

// TakeAcceptance removes all requests that ask for acceptance alone, whatever the budget is,
// and charges it for them.
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
		q.Spend()
		batches = append(batches, take(&urgent, limits.unknownJobs(), false))
	}
	return batches
}

// take removes the requests for the first n jobs.
func take(from *[]Request, n int, accepted bool) Batch {
	byJob := map[string][]Request{}
	rest := (*from)[:0]
	for _, request := range *from {
		if _, taken := byJob[request.JobID]; taken || len(byJob) < n {
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
