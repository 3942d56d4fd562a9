package job

import "time"

// Binding ties a task to a machine before any start is sent. It ends only on proof that the task
// is gone.
type Binding struct {
	Machine string
	Attempt uint64
	// Token is the only fencing token under which the start may be sent, and Epoch the only
	// epoch of the worker's agent that may carry it out. A report under a newer one in which
	// the task is absent proves that it is gone.
	Token, Epoch uint64

	// The rest is not stored.

	// Stored is set once the binding is in the store; before that no start may be sent.
	Stored bool
	// State is what the worker last reported, empty before the first report.
	State string
	// Since is when the binding was made, or when this controller began to lead the job.
	Since time.Duration
	// Stopping is set once a stop was requested, at StopSent.
	Stopping bool
	StopSent time.Duration
	// FencedAt is when the token was last asked to be raised above the binding's.
	FencedAt time.Duration
	// Sent is set once the start was handed to the machine's controller; no start is ever sent
	// twice.
	Sent bool
}

// Exit is an attempt of task Index that has ended on a machine.
type Exit struct {
	Machine string
	Index   int
	Attempt uint64
}
