package federation

import (
	"encoding/json"
	"time"
)

// Input is an event: a message, a result from the store, a change to a job or a request.
type Input any

// Inputs from other sites and from the store.
type (
	// MessageReceived is a message from another site. The sender has been authenticated.
	MessageReceived struct {
		Message Message
		// InfeasibleReason says why the offered job can never run at this site; it is empty if the
		// job can run here.
		InfeasibleReason string
	}
	// PeerReachable reports that messages can be sent to a site again.
	PeerReachable struct{ Site Site }
	// WriteCompleted is the result of a StoreWrite.
	WriteCompleted struct {
		ID      uint64
		Outcome Outcome
	}
	// RecordsLoaded carries the records in the store. It is sent at the start, after Reload, and
	// whenever the watch reports a change that is not one of the coordinator's own writes.
	RecordsLoaded struct{ Records Records }
	// ConfigChanged carries the reloaded configuration.
	ConfigChanged struct{ Config *Config }
)

// Inputs about jobs at this site.
type (
	// JobsWaiting lists the pending jobs that may be handed off, most urgent first.
	JobsWaiting struct {
		Jobs []WaitingJob
		// LongestWaitS is the longest time in seconds that a job has been waiting at this site,
		// among the jobs that may be handed off and are neither suspected nor best-effort.
		LongestWaitS float64
	}
	// LocalJobEnded reports that a job accepted from another site has reached its final state.
	LocalJobEnded struct{ LocalID, FinalState string }
	// CancelRequested is a user's request to cancel a job that was handed off.
	CancelRequested struct {
		Req   uint64
		JobID string
	}
)

// WaitingJob holds what the coordinator needs to know about a pending job.
type WaitingJob struct {
	ID    string
	Class string
	// Waited is how long the job has been waiting.
	Waited time.Duration
	// Zone and Types are the zone and machine types that the job asks for.
	Zone  string
	Types []string
	// InfeasibleHere is set if this site has no machine that could ever run the job.
	InfeasibleHere bool
	// Path lists the sites that the job came through if it was handed off to this one.
	Path []Site
	// Body is the job's submission for the ticket.
	Body json.RawMessage
}

// Instructions from operators.
type (
	// GiveUp confirms that the site to which a job was handed off will not return its result, so
	// that the job can run here again.
	GiveUp struct {
		Req      uint64
		JobID    string
		Operator string
		Reason   string
	}
	// Drain disables or re-enables new hand-offs with a site.
	Drain struct {
		Req     uint64
		Site    Site
		Drained bool
	}
	// ResumeHandOffs resumes hand-offs with a site after the records of this site turned out to be
	// out of date. The operator confirms that nothing from the lost records is still running.
	ResumeHandOffs struct {
		Req      uint64
		Site     Site
		Operator string
		Reason   string
	}
)

// Outcome is the result of a write.
type Outcome uint8

// Outcomes of a write.
const (
	// OutcomeApplied means that the write was applied.
	OutcomeApplied Outcome = iota
	// OutcomeConflict means that the condition of the write failed and nothing was changed.
	OutcomeConflict
	// OutcomeUnknown means that the write may have been applied, may still be applied later, or may
	// have failed.
	OutcomeUnknown
)
