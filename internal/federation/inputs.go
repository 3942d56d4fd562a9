package federation

import (
	"encoding/json"
	"time"
)

// Input is something that happened: a message, a reply of the store, a change of a job.
type Input any

// Inputs from other sites and from the store.
type (
	// MessageReceived is a message of another site, whose sender has been verified.
	MessageReceived struct {
		Message Message
		// Infeasible tells why a job that it offers can never run here.
		Infeasible string
	}
	// PeerReachable tells that messages can be sent to a site again.
	PeerReachable struct{ Site Site }
	// WriteCompleted answers StoreWrite.
	WriteCompleted struct {
		ID      uint64
		Outcome Outcome
	}
	// RecordsLoaded is what the store holds: at first, after Reload, and whenever the watch
	// shows a change that is not one of the coordinator's own writes.
	RecordsLoaded struct{ Records Records }
	// ConfigChanged is the configuration file, read again.
	ConfigChanged struct{ Config *Config }
)

// Inputs about jobs of this site.
type (
	// JobsWaiting lists the jobs that wait here and may go elsewhere, the most urgent first.
	JobsWaiting struct {
		Jobs []WaitingJob
		// LongestWaitS is for how many seconds the longest has waited.
		LongestWaitS float64
	}
	// LocalJobEnded tells that a job which this site has accepted is final.
	LocalJobEnded struct{ LocalID, FinalState string }
	// CancelRequested is a user's request to cancel a job at another site.
	CancelRequested struct {
		Req   uint64
		JobID string
	}
)

// WaitingJob is a job that waits here, as far as the coordinator has to know it.
type WaitingJob struct {
	ID    string
	Class string
	// Waited is for how long it has waited.
	Waited time.Duration
	// Zone and Types are what it asks for.
	Zone  string
	Types []string
	// InfeasibleHere tells that this site has no such machine at all.
	InfeasibleHere bool
	// Path holds the sites that it came through, if it was handed to this one.
	Path []Site
	Body json.RawMessage
}

// Instructions of operators.
type (
	// GiveUp says that the site which has a job will not come back.
	GiveUp struct {
		Req      uint64
		JobID    string
		Operator string
		Reason   string
	}
	// Drain says that there shall be no new hand-offs with a site, or that there may be again.
	Drain struct {
		Req     uint64
		Site    Site
		Drained bool
	}
	// Renew says that hand-offs with a site go on although this site's records are older than
	// the other's: nothing that this site has forgotten runs any more.
	Renew struct {
		Req      uint64
		Site     Site
		Operator string
		Reason   string
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
