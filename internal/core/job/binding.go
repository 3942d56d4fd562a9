package job

import "time"

// Binding assigns a task to a machine. It is stored before the start command is sent. Once stored,
// it is removed only on proof that the task has exited, or that it is not on the machine and can't
// start there any more.
type Binding struct {
	Machine string
	Attempt uint64
	// Token is the fencing token that the start command carries, and Epoch is the worker epoch for
	// which it is sent. A worker that has seen a newer token or is in another epoch rejects the
	// command. A report with a newer token or epoch that does not list the task therefore proves that
	// the task is not on the machine and can't start there.
	Token, Epoch uint64

	// The fields below are not stored.

	// Stored is set once the binding is in the store. No start command may be sent before that.
	Stored bool
	// State is the task state that the worker last reported, empty before the first report.
	State string
	// Since is when the binding was created or its start command was sent, or when this controller
	// became the job's leader. For a claim of another leader it is when the claim was last
	// announced.
	Since time.Duration
	// Stopping is set once a stop was requested. StopSent is when it was last requested.
	Stopping bool
	StopSent time.Duration
	// FencedAt is when a fencing token above Token was last requested for the machine.
	FencedAt time.Duration
	// Sent is set once the start command was or may have been sent to the machine's controller, for
	// example by a previous leader. The command is never sent twice.
	Sent bool
}

// Exit identifies an attempt of task Index that has exited on a machine.
type Exit struct {
	Machine string
	Index   int
	Attempt uint64
}
