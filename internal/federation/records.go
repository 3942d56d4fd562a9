package federation

import (
	"cmp"
	"maps"
)

// Records holds everything about hand-offs in the site's store.
type Records struct {
	// LastEpochs holds, for each site, the highest epoch assigned to hand-offs to it.
	LastEpochs map[Site]Epoch
	// Outgoing holds, by job ID, the jobs that another site has the right to run.
	Outgoing map[string]Outgoing
	// Incoming holds the decisions of this site on hand-offs from other sites.
	Incoming map[IncomingID]Incoming
	// LowWaterMarks holds, for each origin, the epoch up to which it has closed all hand-offs.
	LowWaterMarks map[Site]Epoch
	// Drained holds the sites with which an operator has disabled new hand-offs.
	Drained map[Site]bool
}

// NewRecords returns empty records.
func NewRecords() Records { return Records{}.copy() }

// copy returns a copy that shares no maps with the original.
func (r Records) copy() Records {
	return Records{
		LastEpochs:    clone(r.LastEpochs),
		Outgoing:      clone(r.Outgoing),
		Incoming:      clone(r.Incoming),
		LowWaterMarks: clone(r.LowWaterMarks),
		Drained:       clone(r.Drained),
	}
}

// clone copies a map. The copy of a nil map is an empty map.
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
	// Accepted is set once the receiver has reported its acceptance.
	Accepted bool `json:"a,omitempty"`
	// HandedOffAt is the Unix time of the hand-off in milliseconds, for display only.
	HandedOffAt int64 `json:"at,omitempty"`
}

// Stage returns the stage of an outgoing job, as shown to operators.
func (o Outgoing) Stage() string {
	switch {
	case o.CancelRequested:
		return "cancel asked"
	case o.Accepted:
		return "accepted"
	}
	return "offered"
}

// outgoingID identifies an epoch that this site has assigned to another.
type outgoingID struct {
	to    Site
	epoch Epoch
}

// IncomingID identifies an epoch that another site, the origin, has assigned to this site.
type IncomingID struct {
	Origin Site
	Epoch  Epoch
}

// CompareIncomingIDs orders IDs by origin, then by epoch.
func CompareIncomingIDs(a, b IncomingID) int {
	return cmp.Or(cmp.Compare(a.Origin, b.Origin), cmp.Compare(a.Epoch, b.Epoch))
}

// Incoming is the decision of this site on an epoch of another site. It never changes, except
// that FinalState is set when the job ends.
type Incoming struct {
	Accepted bool   `json:"a"`
	Reason   string `json:"r,omitempty"`
	// LocalID is the ID of the accepted job at this site.
	LocalID string `json:"l,omitempty"`
	// FinalState is the state in which the job ended; it is empty until then.
	FinalState string `json:"s,omitempty"`
	// Path lists the sites that an accepted job came through.
	Path []Site `json:"p,omitempty"`
	// DecidedAt is the Unix time of the decision in milliseconds, for display only.
	DecidedAt int64 `json:"at,omitempty"`
}

// isRunning reports whether the job was accepted and has not ended.
func (i Incoming) isRunning() bool { return i.Accepted && i.FinalState == "" }

// Stage returns the stage of an incoming job, as shown to operators.
func (i Incoming) Stage() string {
	switch {
	case !i.Accepted:
		return "refused"
	case i.FinalState != "":
		return "ended"
	}
	return "taken"
}
