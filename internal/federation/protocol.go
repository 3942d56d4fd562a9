// Package federation hands jobs to other sites and brings their results back. It is
// one site's part in that, for both roles, without input or output: messages, replies
// of the store and the time go in, effects come out. docs/federation.md has the design
// and what must hold.
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
	// KindOffer hands a job over; it is repeated until the decision arrives.
	KindOffer Kind = "offer"
	// KindDecision tells what the receiver has stored of an epoch.
	KindDecision Kind = "decision"
	// KindResult tells the final state of an accepted job; it is repeated until closed.
	KindResult Kind = "result"
	// KindCancel asks for an end of an epoch, decided or not.
	KindCancel Kind = "cancel"
	// KindClosed tells that the origin has stored what became of an epoch, and of all up
	// to its low-water mark.
	KindClosed Kind = "closed"
	// KindViewRequest asks what the other side holds of the two sites' hand-offs. Nothing
	// else passes before both records have been compared.
	KindViewRequest Kind = "ask"
	// KindView answers KindViewRequest.
	KindView Kind = "view"
	// KindLoad tells now and then for how long work waits at a site.
	KindLoad Kind = "room"
)

// Message passes between two sites. Every message of an origin carries its low-water mark.
type Message struct {
	From   Site    `json:"from"`
	To     Site    `json:"to"`
	Kind   Kind    `json:"kind"`
	Epoch  Epoch   `json:"epoch,omitempty"`
	Ticket *Ticket `json:"ticket,omitempty"`
	// Accepted and Reason are the decision.
	Accepted bool   `json:"accepted,omitempty"`
	Reason   string `json:"reason,omitempty"`
	// State is the final state of an ended job.
	State string `json:"state,omitempty"`
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
	// Nonce marks the answer to KindViewRequest, View is that answer.
	Nonce uint64 `json:"nonce,omitempty"`
	View  *View  `json:"view,omitempty"`
}

// View is what a site holds of its hand-offs with another one.
type View struct {
	// LastEpoch is the highest epoch given to the other site.
	LastEpoch Epoch `json:"last"`
	// Open are the epochs given to it that are not closed.
	Open []Epoch `json:"open,omitempty"`
	// Accepted are those of the open ones that the other site has accepted.
	Accepted []Epoch `json:"accepted,omitempty"`
	// HighestEpoch is the highest epoch of the other site that is stored here.
	HighestEpoch Epoch `json:"highest"`
}

// Final states of a job.
const (
	Done      = "done"
	Cancelled = "cancelled"
)
