// Package federation hands jobs to other sites and brings their results back. It is
// one site's part in that, for both roles, without input or output: messages,
// replies of the state service and the time go in, effects come out.
// docs/federation.md has the design and what must hold.
package federation

import (
	"encoding/json"
	"time"
)

// Site names a site.
type Site string

// Epoch numbers the hand-offs of one site to another. A number is never given twice.
type Epoch uint64

// Ticket is what the origin hands out with a job.
type Ticket struct {
	Origin Site   `json:"origin"`
	JobID  string `json:"job"`
	Class  string `json:"class"`
	Epoch  Epoch  `json:"epoch"`
	// To is the only site that may take it.
	To Site `json:"to"`
	// Path holds the sites that the job came through, the origin first.
	Path []Site `json:"path"`
	// Body is the job's description as its user gave it.
	Body json.RawMessage `json:"body"`
	// KeyID names the key of MAC, which signs all the rest.
	KeyID string `json:"key,omitempty"`
	MAC   []byte `json:"mac,omitempty"`
}

// Kind tells what a message says.
type Kind string

// Kinds of messages.
const (
	// KindOffer hands a job over; it is repeated until a decision is told.
	KindOffer Kind = "offer"
	// KindDecision tells what the receiver has stored of an epoch.
	KindDecision Kind = "decision"
	// KindResult tells the final state of an accepted job; it is repeated until closed.
	KindResult Kind = "result"
	// KindCancel asks for an end of an epoch, decided or not.
	KindCancel Kind = "cancel"
	// KindClosed tells that the origin has stored what became of an epoch, and of all up
	// to Floor.
	KindClosed Kind = "closed"
	// KindViewRequest wants to know what the other side holds of the two sites' hand-offs,
	// Viewed tells it. Nothing else passes before both records have been compared.
	KindViewRequest Kind = "ask"
	KindView        Kind = "view"
	// KindLoad tells now and then for how long work waits at a site.
	KindLoad Kind = "room"
)

// Message passes between two sites. Every message of an origin carries its floor.
type Message struct {
	From   Site    `json:"from"`
	To     Site    `json:"to"`
	Kind   Kind    `json:"kind"`
	Epoch  Epoch   `json:"epoch,omitempty"`
	Ticket *Ticket `json:"ticket,omitempty"`
	// Accepted and Reason are the decision, State the final state of an ended job.
	Accepted bool   `json:"accepted,omitempty"`
	Reason   string `json:"reason,omitempty"`
	State    string `json:"state,omitempty"`
	// RecordLost tells of a refusal that does not prove that the job has never run.
	RecordLost bool `json:"lost,omitempty"`
	// Done and Running are tasks of an accepted job, for display.
	Done    int `json:"done,omitempty"`
	Running int `json:"running,omitempty"`
	// LowWaterMark is the epoch up to which the origin has closed all that it offered to
	// the receiver.
	LowWaterMark Epoch `json:"floor,omitempty"`
	// Backoff asks the other side to offer nothing for so long.
	Backoff time.Duration `json:"busy,omitempty"`
	// LongestWaitS is for how many seconds the work that has waited longest at From waits.
	LongestWaitS float64 `json:"wait_s,omitempty"`
	// Nonce marks the answer to Asked, View is that answer.
	Nonce uint64 `json:"nonce,omitempty"`
	View  *View  `json:"view,omitempty"`
}

// View is what a site holds of its hand-offs with another one.
type View struct {
	// LastEpoch is the highest epoch given to the other site, Open those that are not
	// closed, Accepted those of them that the other site has accepted.
	LastEpoch Epoch   `json:"last"`
	Open      []Epoch `json:"open,omitempty"`
	Accepted  []Epoch `json:"accepted,omitempty"`
	// HighestEpoch is the highest epoch of the other site that is stored here.
	HighestEpoch Epoch `json:"highest"`
}

// Final states of a job.
const (
	Done      = "done"
	Cancelled = "cancelled"
)

// Records are what the site's state service holds of the gateway.
type Records struct {
	// LastEpochs is the highest epoch that this site has given to each other.
	LastEpochs map[Site]Epoch
	// Outgoing holds the jobs of this site that another one has the right to.
	Outgoing map[string]Outgoing
	// Incoming holds what this site has decided, by origin and epoch, Floors the epoch
	// up to which an origin has closed all.
	Incoming      map[IncomingID]Incoming
	LowWaterMarks map[Site]Epoch
	// Drained holds the sites that an operator wants no new hand-offs with.
	Drained map[Site]bool
}

// Outgoing is the record of a job whose right to run is elsewhere.
type Outgoing struct {
	Epoch  Epoch  `json:"e"`
	To     Site   `json:"to"`
	Ticket Ticket `json:"t"`
	// KindCancel is set once a user has asked to cancel the job, Accepted once its
	// receiver has told that it has accepted it.
	CancelRequested bool `json:"c,omitempty"`
	Accepted        bool `json:"a,omitempty"`
	// HandedOffAt is the time of day of the hand-off in milliseconds, for display.
	HandedOffAt int64 `json:"at,omitempty"`
}

// IncomingID names an epoch of an origin, where it was taken.
type IncomingID struct {
	Origin Site
	Epoch  Epoch
}

// outgoingID names an epoch of this site, by whom it was given to.
type outgoingID struct {
	to    Site
	epoch Epoch
}

// Incoming is what this site has decided on an epoch of another. It never changes but
// for the state in which the job ended.
type Incoming struct {
	Accepted bool   `json:"a"`
	Reason   string `json:"r,omitempty"`
	// LocalID is the job's id here, State its final state once it has ended.
	LocalID    string `json:"l,omitempty"`
	FinalState string `json:"s,omitempty"`
	// Path holds the sites that an accepted job came through.
	Path []Site `json:"p,omitempty"`
	// DecidedAt is the time of day of the decision in milliseconds, for display.
	DecidedAt int64 `json:"at,omitempty"`
}

// Inputs.
type (
	// MessageReceived is a message of another site, whose sender has been verified. Unfit
	// tells why a job that it offers can never run here.
	MessageReceived struct {
		Message    Message
		Infeasible string
	}
	// WriteCompleted answers Store.
	WriteCompleted struct {
		ID      uint64
		Outcome Outcome
	}
	// RecordsLoaded is what the state service holds: at first, after Reload, and whenever
	// the watch shows a change that no write was told to have made.
	RecordsLoaded struct{ Records Records }
	// JobsWaiting lists the jobs that wait here and may go elsewhere, the first first,
	// and tells for how many seconds the longest has waited.
	JobsWaiting struct {
		Jobs         []WaitingJob
		LongestWaitS float64
	}
	// LocalJobEnded tells that a job which this site has accepted is final.
	LocalJobEnded struct{ LocalID, FinalState string }
	// CancelRequested is a user's request to cancel a job that is away.
	CancelRequested struct {
		Req   uint64
		JobID string
	}
	// GiveUp is an operator's word that a site will not come back.
	GiveUp struct {
		Req              uint64
		JobID            string
		Operator, Reason string
	}
	// Drain is an operator's word that there shall be no new hand-offs with a site,
	// or that there may be again.
	Drain struct {
		Req     uint64
		Site    Site
		Drained bool
	}
	// Renew is an operator's word that hand-offs with a site go on although this
	// site's records are older than the other's: nothing that this site has
	// forgotten runs any more.
	Renew struct {
		Req              uint64
		Site             Site
		Operator, Reason string
	}
	// PeerReachable tells that messages can be sent to a site again.
	PeerReachable struct{ Site Site }
	// ConfigChanged is the operator's file, read again.
	ConfigChanged struct{ Config *Config }
)

// Outcome tells what became of a write.
type Outcome uint8

// Outcomes of a write.
const (
	// Applied means carried out.
	Applied Outcome = iota
	// Conflict means that its condition failed; nothing was changed.
	Conflict
	// Unknown means perhaps carried out, perhaps later, perhaps refused.
	Unknown
)

// Effects.
type (
	// StoreWrite is one conditional write. It is answered by Stored.
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
	// Log is a line for the operator; a Bad one asks for something to be done.
	Log struct {
		Text    string
		Attrs   []any
		IsError bool
	}
)

// Write is one transaction on the site's own records. Each is conditioned on this
// node still being the gateway's home, and on what is said with it.
type Write interface{ write() }

// Writes.
type (
	// CreateOutgoing gives the right to a job away, and takes an epoch: if the job is at
	// home, not cancelled, nothing of it is bound, and the epoch is the next.
	CreateOutgoing struct {
		JobID    string
		Outgoing Outgoing
	}
	// MarkCancelRequested notes that a user wants an end: if the job is away under the epoch.
	MarkCancelRequested struct {
		JobID string
		Epoch Epoch
	}
	// MarkAccepted notes that the receiver has told of its acceptance: if the job is away
	// under the epoch.
	MarkAccepted struct {
		JobID string
		Epoch Epoch
	}
	// RevertOutgoing brings the right home: if the job is away under the epoch. It is
	// written only after the receiver has told of a stored refusal, or by an
	// operator's word.
	RevertOutgoing struct {
		JobID string
		Epoch Epoch
		// Cancelled ends the job at once: its user has asked for that.
		Cancelled bool
		// Operator and Why are set when the receiver has told nothing.
		Operator, Reason string
	}
	// FinishOutgoing stores the final state of a job that was away: if it is away under the
	// epoch and has no final state.
	FinishOutgoing struct {
		JobID      string
		Epoch      Epoch
		FinalState string
	}
	// DecideIncoming accepts an epoch, with the job under its local id, or refuses it: if
	// nothing is stored of it and it is above the floor.
	DecideIncoming struct {
		ID       IncomingID
		Incoming Incoming
		Ticket   Ticket
	}
	// FinishIncoming notes the final state of an accepted job, so that it can be told.
	FinishIncoming struct {
		ID         IncomingID
		FinalState string
	}
	// ForgetIncoming drops what is closed, and raises the floor.
	ForgetIncoming struct {
		Origin       Site
		LowWaterMark Epoch
		// IDs are the decisions that go, all up to Floor.
		IDs []IncomingID
	}
	// SetDrained notes an operator's word on a site.
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
func (MarkCancelRequested) write() {}
func (RevertOutgoing) write()      {}
func (FinishOutgoing) write()      {}
func (DecideIncoming) write()      {}
func (FinishIncoming) write()      {}
func (ForgetIncoming) write()      {}
func (MarkAccepted) write()        {}
func (SetDrained) write()          {}
func (SetLastEpoch) write()        {}
