// Package retry decides what a user's client does after each try, by the
// protocol's rules. It holds no clock: callers pass the time.
package retry

import (
	"net/http"
	"time"
)

// Rules bound the tries of one request.
type Rules struct {
	// AnswerTimeout is for how long one try waits for its answer.
	AnswerTimeout time.Duration
	// MinPause is the least pause between two tries, Most the longest that a
	// controller may ask for; past it, it is cut to Most.
	MinPause, MaxPause time.Duration
	// Deadline is for how long tries go on.
	Deadline time.Duration
}

// Change are the rules for requests that change something, Poll those for
// questions, as the protocol gives them.
var (
	Change = Rules{AnswerTimeout: 5 * time.Second, MinPause: time.Second, MaxPause: 30 * time.Second, Deadline: time.Minute}
	Poll   = Rules{AnswerTimeout: 2 * time.Second, MinPause: time.Second, MaxPause: 30 * time.Second, Deadline: time.Minute}
)

// Outcome is what came of a try. Status is 0 when no answer came.
type Outcome struct {
	Status     int
	RetryAfter time.Duration
}

// Verdict is what to do next.
type Verdict uint8

// Verdicts.
const (
	// Again means to try again after a pause.
	Again Verdict = iota
	// Answered means that the answer settles the request, for good or ill.
	Answered
	// GiveUp means that the time is over without such an answer.
	GiveUp
)

// Next decides after a try that ended at now; started is when the first one began.
func (r Rules) Next(started, now time.Duration, o Outcome) (Verdict, time.Duration) {
	switch o.Status {
	case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
		return Answered, 0
	}
	pause := min(max(r.MinPause, o.RetryAfter), r.MaxPause)
	if now+pause-started > r.Deadline {
		return GiveUp, 0
	}
	return Again, pause
}

// maxConsecutiveFailures is how many tries in a row a target may fail before it is skipped for
// skipDuration.
const (
	maxConsecutiveFailures = 3
	skipDuration           = 3 * time.Second
)

// Targets chooses between several addresses. One that fails is left for the next;
// one that failed often in a row is skipped for a while, unless all are.
type Targets struct {
	addresses    []string
	failures     []int
	skippedUntil []time.Duration
	current      int
}

// NewTargets makes Targets of at least one address.
func NewTargets(addresses []string) *Targets {
	return &Targets{addresses: addresses, failures: make([]int, len(addresses)), skippedUntil: make([]time.Duration, len(addresses))}
}

// Pick is the address for the next try.
func (t *Targets) Pick(now time.Duration) string {
	for range t.addresses {
		if t.skippedUntil[t.current] <= now {
			break
		}
		t.current = (t.current + 1) % len(t.addresses)
	}
	return t.addresses[t.current]
}

// Record takes what came of a try at an address. Any answer shows that it is there;
// after one that asks to come back the next address is tried.
func (t *Targets) Record(now time.Duration, address string, o Outcome) {
	for i, a := range t.addresses {
		if a != address {
			continue
		}
		if o.Status == 0 {
			t.failures[i]++
		} else {
			t.failures[i] = 0
		}
		if t.failures[i] >= maxConsecutiveFailures {
			t.failures[i], t.skippedUntil[i] = 0, now+skipDuration
		}
		if i == t.current && (o.Status == 0 || o.Status >= http.StatusTooManyRequests) {
			t.current = (t.current + 1) % len(t.addresses)
		}
	}
}
