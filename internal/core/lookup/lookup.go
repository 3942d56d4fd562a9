// Package lookup queues requests for the stored states of jobs and batches them, so that one store
// transaction looks up as many jobs as its limit on conditions allows. One transaction per request
// would exhaust the store's request rate when users poll frequently.
package lookup

import (
	"time"

	"pepperlever/internal/protocol"
)

// Outcome is the result of a read that began after the request was made.
type Outcome uint8

const (
	// Unavailable means that the state can't be determined at present.
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

// Request is a caller's request for the state of a job.
type Request struct {
	JobID string
	// Resolve is called exactly once, with the result.
	Resolve func(Result)
	// AcceptanceOnly is set if the caller only needs to know whether the job was accepted, and
	// its final state if it has one.
	AcceptanceOnly bool
	// Since is when the caller made the request.
	Since time.Duration
}

// Batch holds the requests that one transaction answers, grouped and sorted by job ID.
type Batch []Group

// Group holds all requests of a batch for one job.
type Group struct {
	JobID string
	// Accepted is set if the job is known to have been accepted.
	Accepted bool
	Requests []Request
}

// ResolveAll resolves every request of the group with the same result.
func (g Group) ResolveAll(result Result) {
	for _, request := range g.Requests {
		request.Resolve(result)
	}
}

// ResolveUnavailable resolves every request of the group as Unavailable.
func (g Group) ResolveUnavailable() { g.ResolveAll(Result{Outcome: Unavailable}) }
