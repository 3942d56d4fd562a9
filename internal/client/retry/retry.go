// Package retry implements the protocol's retry rules for clients. It does not read the
// clock; callers pass the current time.
package retry

import (
	"net/http"
	"time"

	"pepperlever/internal/protocol"
)

// Policy bounds the attempts of one request.
type Policy struct {
	// AttemptTimeout is how long one attempt waits for its response.
	AttemptTimeout time.Duration
	// MinDelay is the minimum delay between two attempts. MaxDelay is the maximum; a longer
	// one requested by a controller is reduced to it.
	MinDelay, MaxDelay time.Duration
	// MaxElapsed is the time after the start of the first attempt until which another one may
	// begin.
	MaxElapsed time.Duration
}

// ChangePolicy applies to requests that change something and PollPolicy to queries. The
// protocol prescribes the values.
var (
	ChangePolicy = Policy{AttemptTimeout: protocol.SubmitTimeout, MinDelay: time.Second, MaxDelay: 30 * time.Second, MaxElapsed: time.Minute}
	PollPolicy   = Policy{AttemptTimeout: protocol.PollTimeout, MinDelay: time.Second, MaxDelay: 30 * time.Second, MaxElapsed: time.Minute}
)

// Outcome is the result of one attempt. Status is 0 if there was no response.
type Outcome struct {
	Status     int
	RetryAfter time.Duration
}

// Decision is what to do after an attempt.
type Decision uint8

// Decisions of Policy.Next.
const (
	// Retry means to make another attempt after a delay.
	Retry Decision = iota
	// Answered means that the response is definite, whether it reports success or an error.
	Answered
	// GiveUp means that the time for retries has elapsed without a definite response.
	GiveUp
)

// Next decides what to do after an attempt that ended at now, and returns the delay before a
// retry. started is when the first attempt began.
func (p Policy) Next(started, now time.Duration, outcome Outcome) (Decision, time.Duration) {
	switch outcome.Status {
	case http.StatusOK, http.StatusCreated, http.StatusBadRequest, http.StatusNotFound, http.StatusUnprocessableEntity:
		return Answered, 0
	}
	delay := min(max(p.MinDelay, outcome.RetryAfter), p.MaxDelay)
	if now+delay-started > p.MaxElapsed {
		return GiveUp, 0
	}
	return Retry, delay
}

// An address that has failed maxConsecutiveFailures times in a row is skipped for
// skipDuration.
const (
	maxConsecutiveFailures = 3
	skipDuration           = 3 * time.Second
)

// Targets selects among several addresses. After a failure it moves on to the next one. An
// address that fails repeatedly is skipped for a while, unless all addresses are.
type Targets struct {
	addresses    []string
	failures     []int
	skippedUntil []time.Duration
	current      int
}

// NewTargets returns Targets for the given addresses, of which there must be at least one.
func NewTargets(addresses []string) *Targets {
	return &Targets{addresses: addresses, failures: make([]int, len(addresses)), skippedUntil: make([]time.Duration, len(addresses))}
}

// Pick returns the address for the next attempt.
func (t *Targets) Pick(now time.Duration) string {
	for range t.addresses {
		if t.skippedUntil[t.current] <= now {
			break
		}
		t.current = (t.current + 1) % len(t.addresses)
	}
	return t.addresses[t.current]
}

// Record records the outcome of an attempt at an address. Any response resets its count of
// failures, but after a status that asks to retry, the next address is selected.
func (t *Targets) Record(now time.Duration, address string, outcome Outcome) {
	for i, a := range t.addresses {
		if a != address {
			continue
		}
		if outcome.Status == 0 {
			t.failures[i]++
		} else {
			t.failures[i] = 0
		}
		if t.failures[i] >= maxConsecutiveFailures {
			t.failures[i], t.skippedUntil[i] = 0, now+skipDuration
		}
		if i == t.current && (outcome.Status == 0 || outcome.Status >= http.StatusTooManyRequests) {
			t.current = (t.current + 1) % len(t.addresses)
		}
	}
}
