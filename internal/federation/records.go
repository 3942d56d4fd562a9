package federation

import (
	"cmp"
	"maps"
)

// Records are what the site's store holds of the hand-offs.
type Records struct {
	// LastEpochs is the highest epoch that this site has given to each other.
	LastEpochs map[Site]Epoch
	// Outgoing holds the jobs of this site that another one has the right to run, by ID.
	Outgoing map[string]Outgoing
	// Incoming holds what this site has decided on the jobs of others.
	Incoming map[IncomingID]Incoming
	// LowWaterMarks are the epochs up to which each origin has closed all.
	LowWaterMarks map[Site]Epoch
	// Drained holds the sites that an operator wants no new hand-offs with.
	Drained map[Site]bool
}

// NewRecords makes records without any hand-off.
func NewRecords() Records { return Records{}.copy() }

// copy makes records that share nothing with others.
func (r Records) copy() Records {
	return Records{
		LastEpochs:    clone(r.LastEpochs),
		Outgoing:      clone(r.Outgoing),
		Incoming:      clone(r.Incoming),
		LowWaterMarks: clone(r.LowWaterMarks),
		Drained:       clone(r.Drained),
	}
}

// clone copies a map. The copy of nil is empty.
func clone[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// Outgoing is the record of a job that another site has the right to run.
type Outgoing struct {
	Epoch  Epoch  `json:"e"`
	To     Site   `json:"to"`
	Ticket Ticket `json:"t"`
	// CancelRequested is set once a user has asked to cancel the job.
	CancelRequested bool `json:"c,omitempty"`
	// Accepted is set once its receiver has told that it has accepted it.
	Accepted bool `json:"a,omitempty"`
	// HandedOffAt is the time of day of the hand-off in milliseconds, for display.
	HandedOffAt int64 `json:"at,omitempty"`
}

// Stage is how far an outgoing job has come.
func (o Outgoing) Stage() string {
	switch {
	case o.CancelRequested:
		return "cancel asked"
	case o.Accepted:
		return "accepted"
	}
	return "offered"
}

// outgoingID names an epoch of this site, by whom it was given to.
type outgoingID struct {
	to    Site
	epoch Epoch
}

// IncomingID names an epoch of another site, its origin.
type IncomingID struct {
	Origin Site
	Epoch  Epoch
}

// CompareIncomingIDs orders epochs by origin and number.
func CompareIncomingIDs(a, b IncomingID) int {
	return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Epoch, b.Epoch))
}

// Incoming is what this site has decided on an epoch of another. It never changes but
// for the state in which the job ended.
type Incoming struct {
	Accepted bool   `json:"a"`
	Reason   string `json:"r,omitempty"`
	// LocalID is the job's ID here.
	LocalID string `json:"l,omitempty"`
	// FinalState is set once the job has ended.
	FinalState string `json:"s,omitempty"`
	// Path holds the sites that an accepted job came through.
	Path []Site `json:"p,omitempty"`
	// DecidedAt is the time of day of the decision in milliseconds, for display.
	DecidedAt int64 `json:"at,omitempty"`
}

// isRunning tells whether the job was accepted and has not ended.
func (i Incoming) isRunning() bool { return i.Accepted && i.FinalState == "" }

// Stage is how far an incoming job has come.
func (i Incoming) Stage() string {
	switch {
	case !i.Accepted:
		return "refused"
	case i.FinalState != "":
		return "ended"
	}
	return "taken"
}
