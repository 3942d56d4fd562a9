// Package gateway hands jobs to other sites and brings their results back. It is
// one site's part in that, for both roles, without input or output: messages,
// replies of the state service and the time go in, effects come out.
// docs/gateway.md has the design and what must hold.
package gateway

import "time"

// Site names a site.
type Site string

// Epoch numbers the hand-offs of one origin. A number is never given twice.
type Epoch uint64

// Ticket is what the origin hands out with a job.
type Ticket struct {
	Origin Site   `json:"origin"`
	Job    string `json:"job"`
	Class  string `json:"class"`
	Epoch  Epoch  `json:"epoch"`
	// Path holds the sites that the job came through, the origin first.
	Path []Site `json:"path"`
	// Body is the job's description as its user gave it.
	Body []byte `json:"body"`
}

// Kind tells what a message says.
type Kind string

// Kinds of messages.
const (
	// Offered hands a job over; it is repeated until a decision is told.
	Offered Kind = "offer"
	// Decided tells what the receiver has stored of an epoch.
	Decided Kind = "decision"
	// Ended tells the final state of an accepted job; it is repeated until closed.
	Ended Kind = "result"
	// CancelAsked asks for an end of an epoch, decided or not.
	CancelAsked Kind = "cancel"
	// Closed tells that the origin has stored what became of all epochs up to Floor.
	Closed Kind = "closed"
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
	// Floor is the epoch up to which the origin has closed all that it offered to
	// the receiver.
	Floor Epoch `json:"floor,omitempty"`
	// Busy asks the other side to offer nothing for a while.
	Busy time.Duration `json:"busy,omitempty"`
}

// Final states of a job.
const (
	Done      = "done"
	Cancelled = "cancelled"
)

// Records are what the site's state service holds of the gateway.
type Records struct {
	// Last is the highest epoch that this site has given.
	Last Epoch
	// Away holds the jobs of this site that another one has the right to.
	Away map[string]Away
	// Taken holds what this site has decided, by origin and epoch, Floors the epoch
	// up to which an origin has closed all.
	Taken  map[Hold]Taken
	Floors map[Site]Epoch
}

// Away is the record of a job whose right to run is elsewhere.
type Away struct {
	Epoch  Epoch  `json:"e"`
	To     Site   `json:"to"`
	Ticket Ticket `json:"t"`
	// CancelAsked is set once a user has asked to cancel the job.
	CancelAsked bool `json:"c,omitempty"`
}

// Hold names an epoch of an origin.
type Hold struct {
	Origin Site
	Epoch  Epoch
}

// Taken is what this site has decided on an epoch of another. It never changes but
// for the state in which the job ended.
type Taken struct {
	Accepted bool   `json:"a"`
	Reason   string `json:"r,omitempty"`
	// Local is the job's id here, State its final state once it has ended.
	Local string `json:"l,omitempty"`
	State string `json:"s,omitempty"`
}

// Inputs.
type (
	// Received is a message of another site, whose sender has been verified.
	Received struct{ Message Message }
	// Stored answers Store.
	Stored struct {
		ID      uint64
		Outcome Outcome
	}
	// Loaded is what the state service holds: at first, after Reload, and whenever
	// the watch shows a change that no write was told to have made.
	Loaded struct{ Records Records }
	// Waiting is a job that waits here and may go elsewhere.
	Waiting struct{ Job Job }
	// EndedHere tells that a job which this site has accepted is final.
	EndedHere struct{ Local, State string }
	// Cancel is a user's request to cancel a job that is away.
	Cancel struct {
		Req uint64
		Job string
	}
	// GiveUp is an operator's word that a site will not come back.
	GiveUp struct {
		Req           uint64
		Job           string
		Operator, Why string
	}
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
	// Store is one conditional write. It is answered by Stored.
	Store struct {
		ID    uint64
		Write Write
	}
	// Reload asks for all records to be read again.
	Reload struct{}
	// Send sends a message; it may be lost, late or repeated.
	Send struct{ Message Message }
	// CancelHere cancels a job that this site has accepted.
	CancelHere struct{ Local string }
	// Answer ends a request of a user or operator. State is empty while nobody can
	// tell: 503 with Retry-After.
	Answer struct {
		Req   uint64
		State string
		Err   string
	}
	// Log is a line for the operator.
	Log struct {
		Text  string
		Attrs []any
	}
)

// Write is one transaction on the site's own records. Each is conditioned on this
// node still being the gateway's home, and on what is said with it.
type Write interface{ write() }

// Writes.
type (
	// MakeAway gives the right to a job away, and takes an epoch: if the job is at
	// home, not cancelled, nothing of it is bound, and the epoch is the next.
	MakeAway struct {
		Job  string
		Away Away
	}
	// MarkCancel notes that a user wants an end: if the job is away under the epoch.
	MarkCancel struct {
		Job   string
		Epoch Epoch
	}
	// TakeBack brings the right home: if the job is away under the epoch. It is
	// written only after the receiver has told of a stored refusal, or by an
	// operator's word.
	TakeBack struct {
		Job   string
		Epoch Epoch
		// Cancelled ends the job at once: its user has asked for that.
		Cancelled bool
		// Operator and Why are set when the receiver has told nothing.
		Operator, Why string
	}
	// Finish stores the final state of a job that was away: if it is away under the
	// epoch and has no final state.
	Finish struct {
		Job   string
		Epoch Epoch
		State string
	}
	// Decide accepts an epoch, with the job under its local id, or refuses it: if
	// nothing is stored of it and it is above the floor.
	Decide struct {
		Hold   Hold
		Taken  Taken
		Ticket Ticket
	}
	// NoteEnd notes the final state of an accepted job, so that it can be told.
	NoteEnd struct {
		Hold  Hold
		State string
	}
	// Forget drops what is closed, and raises the floor.
	Forget struct {
		Origin Site
		Floor  Epoch
	}
)

func (MakeAway) write()   {}
func (MarkCancel) write() {}
func (TakeBack) write()   {}
func (Finish) write()     {}
func (Decide) write()     {}
func (NoteEnd) write()    {}
func (Forget) write()     {}
