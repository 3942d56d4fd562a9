// Package federation hands off jobs to other sites and returns their results. It implements both
// the origin's and the receiver's side of the protocol for one site, as a state machine without
// I/O: messages, results from the store and the current time are inputs, and the actions to take
// are returned as effects. See docs/federation.md for the design and its invariants.
package federation

import (
	"encoding/json"
	"time"
)

// Site is the name of a site.
type Site string

// Epoch is the sequence number of a hand-off from one site to another. No number is used twice.
type Epoch uint64

// Ticket is the authorization, issued by the origin, to run a job under an epoch.
type Ticket struct {
	Origin Site   `json:"origin"`
	JobID  string `json:"job"`
	Class  string `json:"class"`
	Epoch  Epoch  `json:"epoch"`
	// To is the only site that may accept the ticket.
	To Site `json:"to"`
	// Path lists the sites that the job came through, starting with the one where it was
	// submitted.
	Path []Site `json:"path"`
	// Body is the job's submission. The origin builds it from the spec, with the remaining time as
	// the deadline.
	Body json.RawMessage `json:"body"`
	// KeyID names the key used for MAC, which authenticates all other fields.
	KeyID string `json:"key,omitempty"`
	MAC   []byte `json:"mac,omitempty"`
}

// Kind is the type of a message.
type Kind string

// Kinds of messages.
const (
	// KindOffer hands off a job. It is repeated until the decision arrives.
	KindOffer Kind = "offer"
	// KindDecision reports the receiver's stored decision on an epoch.
	KindDecision Kind = "decision"
	// KindResult reports the final state of an accepted job. It is repeated until the epoch is
	// closed.
	KindResult Kind = "result"
	// KindCancel asks the receiver to cancel an epoch, whether it is decided or not.
	KindCancel Kind = "cancel"
	// KindClosed reports that the origin has stored the outcome of an epoch, and of all epochs
	// up to its low-water mark.
	KindClosed Kind = "closed"
	// KindViewRequest asks for the peer's view of the hand-offs between the two sites. A site
	// ignores a peer's hand-off messages until it has compared its records with that view.
	KindViewRequest Kind = "ask"
	// KindView is the answer to KindViewRequest.
	KindView Kind = "view"
	// KindLoad periodically reports how long jobs wait at a site.
	KindLoad Kind = "room"
)

// Message is a message between two sites. Every message carries the sender's low-water mark.
type Message struct {
	From   Site    `json:"from"`
	To     Site    `json:"to"`
	Kind   Kind    `json:"kind"`
	Epoch  Epoch   `json:"epoch,omitempty"`
	Ticket *Ticket `json:"ticket,omitempty"`
	// Accepted and Reason are the decision on the epoch.
	Accepted bool   `json:"accepted,omitempty"`
	Reason   string `json:"reason,omitempty"`
	// State is the final state of a job.
	State string `json:"state,omitempty"`
	// RecordLost marks a refusal that does not prove that the job never ran.
	RecordLost bool `json:"lost,omitempty"`
	// Done and Running count tasks of an accepted job, for display only.
	Done    int `json:"done,omitempty"`
	Running int `json:"running,omitempty"`
	// LowWaterMark is the epoch up to which the sender has closed all its hand-offs to the
	// receiver of the message.
	LowWaterMark Epoch `json:"floor,omitempty"`
	// Backoff asks the peer to send no offers for this long.
	Backoff time.Duration `json:"busy,omitempty"`
	// LongestWaitS is the longest time in seconds that a job has been waiting at From, among the
	// jobs that may be handed off.
	LongestWaitS float64 `json:"wait_s,omitempty"`
	// Nonce identifies a KindViewRequest and is returned in its answer. View is the content of
	// that answer.
	Nonce uint64 `json:"nonce,omitempty"`
	View  *View  `json:"view,omitempty"`
}

// View is what a site's records hold about its hand-offs with a peer.
type View struct {
	// LastEpoch is the highest epoch that the site has assigned to hand-offs to the peer.
	LastEpoch Epoch `json:"last"`
	// Open lists the epochs assigned to the peer that are not closed.
	Open []Epoch `json:"open,omitempty"`
	// Accepted lists the epochs in Open that the peer has accepted.
	Accepted []Epoch `json:"accepted,omitempty"`
	// HighestEpoch is the highest epoch of the peer in the site's records.
	HighestEpoch Epoch `json:"highest"`
}

// Final states of a job.
const (
	Done      = "done"
	Cancelled = "cancelled"
)
