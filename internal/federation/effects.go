package federation

// Effect is an action that the caller of Step carries out, such as sending a message or writing
// a record.
type Effect any

// Effects of a step.
type (
	// StoreWrite requests one conditional write. It is answered by WriteCompleted.
	StoreWrite struct {
		ID    uint64
		Write Write
	}
	// Reload requests that all records be read again. It is answered by RecordsLoaded.
	Reload struct{}
	// Send sends a message. The message may be lost, delayed or duplicated.
	Send struct{ Message Message }
	// CancelLocal cancels a job that this site has accepted from another site.
	CancelLocal struct{ LocalID string }
	// Answer completes a request of a user or operator. If State and Error are empty, the outcome
	// is not known yet: the API responds with 503 and Retry-After.
	Answer struct {
		Req   uint64
		State string
		Error string
	}
	// Log writes a log line. IsError marks lines that require an operator to act.
	Log struct {
		Text    string
		Attrs   []any
		IsError bool
	}
)

// Write is one transaction on the site's own records. Every write is conditional on this
// controller still being the leader of the federation shard, and on the conditions given with its
// type.
type Write interface{ write() }

// Writes that concern outgoing jobs.
type (
	// CreateOutgoing transfers the right to run a job to another site under a new epoch.
	// Condition: the job is at this site and not cancelled, none of its tasks is bound to a
	// machine, and the epoch is the next one.
	CreateOutgoing struct {
		JobID    string
		Outgoing Outgoing
	}
	// MarkAccepted records that the receiver has reported its acceptance. Condition: the job is
	// outgoing under the epoch.
	MarkAccepted struct {
		JobID string
		Epoch Epoch
	}
	// MarkCancelRequested records that a user has asked to cancel the job. Condition: the job is
	// outgoing under the epoch.
	MarkCancelRequested struct {
		JobID string
		Epoch Epoch
	}
	// RevertOutgoing returns the right to run a job to this site. Condition: the job is outgoing
	// under the epoch. It is written only after the receiver has reported a stored refusal, or on an
	// operator's instruction.
	RevertOutgoing struct {
		JobID string
		Epoch Epoch
		// Cancelled ends the job immediately, because its user has asked to cancel it.
		Cancelled bool
		// Operator and Reason are set if an operator has given up the hand-off without an answer
		// from the receiver.
		Operator string
		Reason   string
	}
	// FinishOutgoing stores the final state of an outgoing job. Condition: the job is outgoing
	// under the epoch and has no final state.
	FinishOutgoing struct {
		JobID      string
		Epoch      Epoch
		FinalState string
	}
)

// Writes that concern incoming jobs.
type (
	// DecideIncoming stores the decision on an epoch: either its acceptance, together with the
	// job under its local ID, or its refusal. Condition: there is no decision on the epoch yet,
	// and it is above the low-water mark.
	DecideIncoming struct {
		ID       IncomingID
		Incoming Incoming
		Ticket   Ticket
	}
	// FinishIncoming stores the final state of an accepted job, so that it can be reported to the
	// job's origin.
	FinishIncoming struct {
		ID         IncomingID
		FinalState string
	}
	// DeleteIncoming deletes decisions on closed epochs and raises the low-water mark.
	DeleteIncoming struct {
		Origin       Site
		LowWaterMark Epoch
		// IDs are the decisions to delete, none of them above LowWaterMark.
		IDs []IncomingID
	}
)

// Writes that concern sites.
type (
	// SetDrained stores whether an operator has disabled new hand-offs with a site.
	SetDrained struct {
		Site    Site
		Drained bool
	}
	// SetLastEpoch raises the highest epoch assigned to hand-offs to a site.
	SetLastEpoch struct {
		Site  Site
		Epoch Epoch
	}
)

func (CreateOutgoing) write()      {}
func (MarkAccepted) write()        {}
func (MarkCancelRequested) write() {}
func (RevertOutgoing) write()      {}
func (FinishOutgoing) write()      {}
func (DecideIncoming) write()      {}
func (FinishIncoming) write()      {}
func (DeleteIncoming) write()      {}
func (SetDrained) write()          {}
func (SetLastEpoch) write()        {}
