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
	Job    string `json:"job"`
	Class  string `json:"class"`
	Epoch  Epoch  `json:"epoch"`
	// To is the only site that may take it.
	To Site `json:"to"`
	// Path holds the sites that the job came through, the origin first.
	Path []Site `json:"path"`
	// Body is the job's description as its user gave it.
	Body json.RawMessage `json:"body"`
	// Key names the key of MAC, which signs all the rest.
	Key string `json:"key,omitempty"`
	MAC []byte `json:"mac,omitempty"`
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
	// Closed tells that the origin has stored what became of an epoch, and of all up
	// to Floor.
	Closed Kind = "closed"
	// Asked wants to know what the other side holds of the two sites' hand-offs,
	// Viewed tells it. Nothing else passes before both records have been compared.
	Asked  Kind = "ask"
	Viewed Kind = "view"
	// Roomed tells now and then for how long work waits at a site.
	Roomed Kind = "room"
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
	// Lost tells of a refusal that does not prove that the job has never run.
	Lost bool `json:"lost,omitempty"`
	// Done and Running are tasks of an accepted job, for display.
	Done    int `json:"done,omitempty"`
	Running int `json:"running,omitempty"`
	// Floor is the epoch up to which the origin has closed all that it offered to
	// the receiver.
	Floor Epoch `json:"floor,omitempty"`
	// Busy asks the other side to offer nothing for so long.
	Busy time.Duration `json:"busy,omitempty"`
	// WaitS is for how many seconds the work that has waited longest at From waits.
	WaitS float64 `json:"wait_s,omitempty"`
	// Nonce marks the answer to Asked, View is that answer.
	Nonce uint64 `json:"nonce,omitempty"`
	View  *View  `json:"view,omitempty"`
}

// View is what a site holds of its hand-offs with another one.
type View struct {
	// Last is the highest epoch given to the other site, Open those that are not
	// closed, Accepted those of them that the other site has accepted.
	Last     Epoch   `json:"last"`
	Open     []Epoch `json:"open,omitempty"`
	Accepted []Epoch `json:"accepted,omitempty"`
	// Highest is the highest epoch of the other site that is stored here.
	Highest Epoch `json:"highest"`
}

// Final states of a job.
const (
	Done      = "done"
	Cancelled = "cancelled"
)

// Records are what the site's state service holds of the gateway.
type Records struct {
	// Last is the highest epoch that this site has given to each other.
	Last map[Site]Epoch
	// Away holds the jobs of this site that another one has the right to.
	Away map[string]Away
	// Taken holds what this site has decided, by origin and epoch, Floors the epoch
	// up to which an origin has closed all.
	Taken  map[Hold]Taken
	Floors map[Site]Epoch
	// Drained holds the sites that an operator wants no new hand-offs with.
	Drained map[Site]bool
}

// Away is the record of a job whose right to run is elsewhere.
type Away struct {
	Epoch  Epoch  `json:"e"`
	To     Site   `json:"to"`
	Ticket Ticket `json:"t"`
	// CancelAsked is set once a user has asked to cancel the job, Accepted once its
	// receiver has told that it has accepted it.
	CancelAsked bool `json:"c,omitempty"`
	Accepted    bool `json:"a,omitempty"`
	// At is the time of day of the hand-off in milliseconds, for display.
	At int64 `json:"at,omitempty"`
}

// Hold names an epoch of an origin, where it was taken.
type Hold struct {
	Origin Site
	Epoch  Epoch
}

// given names an epoch of this site, by whom it was given to.
type given struct {
	to    Site
	epoch Epoch
}

// Taken is what this site has decided on an epoch of another. It never changes but
// for the state in which the job ended.
type Taken struct {
	Accepted bool   `json:"a"`
	Reason   string `json:"r,omitempty"`
	// Local is the job's id here, State its final state once it has ended.
	Local string `json:"l,omitempty"`
	State string `json:"s,omitempty"`
	// Path holds the sites that an accepted job came through.
	Path []Site `json:"p,omitempty"`
	// At is the time of day of the decision in milliseconds, for display.
	At int64 `json:"at,omitempty"`
}

// Inputs.
type (
	// Received is a message of another site, whose sender has been verified. Unfit
	// tells why a job that it offers can never run here.
	Received struct {
		Message Message
		Unfit   string
	}
	// Stored answers Store.
	Stored struct {
		ID      uint64
		Outcome Outcome
	}
	// Loaded is what the state service holds: at first, after Reload, and whenever
	// the watch shows a change that no write was told to have made.
	Loaded struct{ Records Records }
	// Waiting lists the jobs that wait here and may go elsewhere, the first first,
	// and tells for how many seconds the longest has waited.
	Waiting struct {
		Jobs  []Job
		WaitS float64
	}
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
	// Drain is an operator's word that there shall be no new hand-offs with a site,
	// or that there may be again.
	Drain struct {
		Req  uint64
		Site Site
		On   bool
	}
	// Renew is an operator's word that hand-offs with a site go on although this
	// site's records are older than the other's: nothing that this site has
	// forgotten runs any more.
	Renew struct {
		Req           uint64
		Site          Site
		Operator, Why string
	}
	// Reachable tells that messages can be sent to a site again.
	Reachable struct{ Site Site }
	// Configured is the operator's file, read again.
	Configured struct{ Config *Config }
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
	// Log is a line for the operator; a Bad one asks for something to be done.
	Log struct {
		Text  string
		Attrs []any
		Bad   bool
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
	// MarkTold notes that the receiver has told of its acceptance: if the job is away
	// under the epoch.
	MarkTold struct {
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
		// Drop are the decisions that go, all up to Floor.
		Drop []Hold
	}
	// SetDrain notes an operator's word on a site.
	SetDrain struct {
		Site Site
		On   bool
	}
	// SetLast raises the highest epoch given to a site.
	SetLast struct {
		Site Site
		Last Epoch
	}
)

func (MakeAway) write()   {}
func (MarkCancel) write() {}
func (TakeBack) write()   {}
func (Finish) write()     {}
func (Decide) write()     {}
func (NoteEnd) write()    {}
func (Forget) write()     {}
func (MarkTold) write()   {}
func (SetDrain) write()   {}
func (SetLast) write()    {}
