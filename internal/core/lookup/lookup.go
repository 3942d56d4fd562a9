// Package lookup queues the questions that controllers have about the stored states of jobs,
// so that one transaction of the store answers as many of them as it may have conditions. A
// transaction for each question would use up the store as soon as users poll often.
package lookup

import (
	"time"

	"pepperlever/internal/protocol"
)

// Outcome is what a read that began after the request says about a job.
type Outcome uint8

const (
	// Unavailable means that nobody can tell now.
	Unavailable Outcome = iota
	// Absent means that the job was never accepted.
	Absent
	// Active means that the job was accepted and has no final state.
	Active
	// Final means that the job has a final state.
	Final
)

// Result is the answer to a Request.
type Result struct {
	Outcome Outcome
	// State is set if the outcome is Active or Final.
	State protocol.JobState
}

// Request is one caller that waits for the state of a job.
type Request struct {
	JobID string
	// Resolve is called once, with the result.
	Resolve func(Result)
	// AcceptanceOnly is set where it is enough to know whether the job was accepted, and its
	// final state if it has one.
	AcceptanceOnly bool
	// Since is when the caller began to wait.
	Since time.Duration
}

// Batch holds the requests that one transaction answers, by job ID.
type Batch []Group

// Group holds all requests of a batch for one job.
type Group struct {
	JobID string
	// Accepted is set once the job is known to have been accepted.
	Accepted bool
	Requests []Request
}

// ResolveAll gives every request of the group the same result.
func (g Group) ResolveAll(result Result) {
	for _, request := range g.Requests {
		request.Resolve(result)
	}
}

// ResolveUnavailable tells every request of the group that nobody can tell now.
func (g Group) ResolveUnavailable() { g.ResolveAll(Result{Outcome: Unavailable}) }
