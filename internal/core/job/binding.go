package job

import "time"

// Binding assigns a task to a machine. It is stored before the start is sent, and is removed only
// on proof that the task is no longer on the machine and can't start there.
type Binding struct {
	Machine string
	Attempt uint64
	// Token is the fencing token under which the start is sent, and Epoch is the worker epoch in
	// which the worker may execute it. The start is void under any other token or epoch. A
	// report under a newer token or epoch that does not list the task proves that the task is no
	// longer on the machine.
	Token, Epoch uint64

	// The fields below are not stored.

	// Stored is set once the binding is in the store. No start may be sent before that.
	Stored bool
	// State is the task state that the worker last reported, empty before the first report.
	State string
	// Since is when the binding was created or its start was sent, or when this controller
	// became the job's leader. For a claim of another leader it is when the claim was last
	// announced.
	Since time.Duration
	// Stopping is set once a stop was requested. StopSent is when it was last requested.
	Stopping bool
	StopSent time.Duration
	// FencedAt is when a fencing token above Token was last requested for the machine.
	FencedAt time.Duration
	// Sent is set once the start was sent to the machine's controller. A start is never sent
	// twice.
	Sent bool
}

// Exit identifies an attempt of task Index that has exited on a machine.
type Exit struct {
	Machine string
	Index   int
	Attempt uint64
}
