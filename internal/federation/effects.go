package federation

// Effect is something to be done: a message to be sent, a record to be written.
type Effect any

// Effects.
type (
	// StoreWrite is one conditional write. It is answered by WriteCompleted.
	StoreWrite struct {
		ID    uint64
		Write Write
	}
	// Reload asks for all records to be read again.
	Reload struct{}
	// Send sends a message; it may be lost, late or repeated.
	Send struct{ Message Message }
	// CancelLocal cancels a job that this site has accepted.
	CancelLocal struct{ LocalID string }
	// Answer ends a request of a user or operator. State is empty while nobody can
	// tell: 503 with Retry-After.
	Answer struct {
		Req   uint64
		State string
		Error string
	}
	// Log is a line for the operator; an error asks for something to be done.
	Log struct {
		Text    string
		Attrs   []any
		IsError bool
	}
)

// Write is one transaction on the site's own records. Each is conditioned on this
// node still being the coordinator's leader, and on what is said with it.
type Write interface{ write() }

// Writes about outgoing jobs.
type (
	// CreateOutgoing gives the right to run a job to another site, and takes an epoch: if the
	// job is here, not cancelled, nothing of it is bound, and the epoch is the next.
	CreateOutgoing struct {
		JobID    string
		Outgoing Outgoing
	}
	// MarkAccepted notes that the receiver has told of its acceptance: if the job is outgoing
	// under the epoch.
	MarkAccepted struct {
		JobID string
		Epoch Epoch
	}
	// MarkCancelRequested notes that a user wants an end: if the job is outgoing under the
	// epoch.
	MarkCancelRequested struct {
		JobID string
		Epoch Epoch
	}
	// RevertOutgoing takes the right to run a job back: if it is outgoing under the epoch. It
	// is written only after the receiver has told of a stored refusal, or on an operator's
	// instruction.
	RevertOutgoing struct {
		JobID string
		Epoch Epoch
		// Cancelled ends the job at once: its user has asked for that.
		Cancelled bool
		// Operator and Reason are set when the receiver has told nothing.
		Operator string
		Reason   string
	}
	// FinishOutgoing stores the final state of an outgoing job: if it is outgoing under the
	// epoch and has no final state.
	FinishOutgoing struct {
		JobID      string
		Epoch      Epoch
		FinalState string
	}
)

// Writes about incoming jobs.
type (
	// DecideIncoming accepts an epoch, with the job under its local ID, or refuses it: if
	// nothing is stored of it and it is above the low-water mark.
	DecideIncoming struct {
		ID       IncomingID
		Incoming Incoming
		Ticket   Ticket
	}
	// FinishIncoming notes the final state of an accepted job, so that its origin can be told.
	FinishIncoming struct {
		ID         IncomingID
		FinalState string
	}
	// ForgetIncoming drops decisions on what is closed, and raises the low-water mark.
	ForgetIncoming struct {
		Origin       Site
		LowWaterMark Epoch
		// IDs are the decisions that go, none above LowWaterMark.
		IDs []IncomingID
	}
)

// Writes about sites.
type (
	// SetDrained notes whether an operator wants no new hand-offs with a site.
	SetDrained struct {
		Site    Site
		Drained bool
	}
	// SetLastEpoch raises the highest epoch given to a site.
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
func (ForgetIncoming) write()      {}
func (SetDrained) write()          {}
func (SetLastEpoch) write()        {}
