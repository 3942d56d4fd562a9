package core

import (
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// Command is an input of the core: a request, a reply or an event from outside.
type Command any

// Commands from users and workers. Req identifies the request in its Answer.
type (
	// Submit submits a job.
	Submit struct {
		Req  uint64
		Body []byte
	}
	// Status requests the state of a job.
	Status struct {
		Req uint64
		ID  string
	}
	// Cancel cancels a job.
	Cancel struct {
		Req uint64
		ID  string
	}
	// List requests a page of the jobs in the replica that have not ended. The page
	// starts after the job with ID After.
	List struct {
		Req   uint64
		After string
	}
	// JobStatistics requests the numbers of jobs by class, team and outcome.
	JobStatistics struct{ Req uint64 }
	// Health asks whether this node can serve requests.
	Health struct{ Req uint64 }
	// Heartbeat is a worker's report.
	Heartbeat struct {
		Req    uint64
		Report protocol.Report
	}
)

// Outcome is the result of a request to the store or to the cloud.
type Outcome uint8

// Outcomes of a request.
const (
	// OutcomeApplied means that the request was carried out.
	OutcomeApplied Outcome = iota
	// OutcomeConflict means that a condition failed and nothing was changed.
	OutcomeConflict
	// OutcomeMissing means that the key does not exist.
	OutcomeMissing
	// OutcomeNoLease means that the controller lease to which a write attaches its key has expired
	// and nothing was changed.
	OutcomeNoLease
	// OutcomeRefused means that the request was certainly not carried out.
	OutcomeRefused
	// OutcomeUnknown means that the request may have been carried out, or may still be.
	OutcomeUnknown
)

// Commands from the store.
type (
	// StoreReply answers StoreTxn and StoreGet.
	StoreReply struct {
		ID      uint64
		Outcome Outcome
		// Unavailable marks a refusal for a reason other than the rate limit: an
		// immediate retry would fail too.
		Unavailable bool
		// RateLimited marks a refusal because of the rate limit. Oversized marks a refusal
		// because the transaction exceeds the store's limits or is malformed.
		RateLimited, Oversized bool
		Revision               uint64
		// Failed lists the keys whose conditions failed. It may be incomplete.
		Failed []string
		// Item is the item read by StoreGet.
		Item protocol.KeyValue
	}
	// SnapshotLoaded contains everything in the store as of Revision.
	SnapshotLoaded struct {
		Revision uint64
		Items    []protocol.KeyValue
	}
	// StoreChanged contains all changes up to Revision.
	StoreChanged struct {
		Revision uint64
		Events   []protocol.Event
	}
	// LeaseGranted reports a new controller lease of this node.
	LeaseGranted struct{ Lease uint64 }
	// LeaseExpired reports that the controller lease of this node has expired.
	LeaseExpired struct{}
	// StoreHealth reports whether the store answers this node.
	StoreHealth struct{ OK bool }
	// StoreLimitLowered reports that the store enforces its upcoming, lower limits: it has
	// refused many changes because of the rate limit, or a transaction as oversized.
	StoreLimitLowered struct{}
)

// Commands from other controllers, workers and the cloud.
type (
	// PeerMessageReceived is a message from another controller.
	PeerMessageReceived struct {
		Node    string
		Message PeerMessage
	}
	// PeerConnected reports that messages can now be sent to a controller.
	PeerConnected struct{ Node string }
	// PeerDisconnected reports that messages can no longer be sent to a controller.
	PeerDisconnected struct{ Node string }
	// DeliveryResult answers Deliver. Report is nil if the worker did not answer.
	DeliveryResult struct {
		Machine      string
		CommandBatch protocol.CommandBatch
		Executed     bool
		Report       *protocol.Report
	}
	// CatalogReceived contains the cloud's catalog of machine types.
	CatalogReceived struct{ Types []protocol.MachineType }
	// InventoryReceived contains the cloud's complete list of rented machines.
	InventoryReceived struct{ Machines []protocol.ListedMachine }
	// CloudHealth reports whether the cloud carries out requests. OK is false during an outage.
	CloudHealth struct{ OK bool }
	// RentalResult answers RequestRental. Outcome is OutcomeApplied, OutcomeRefused (no
	// capacity) or OutcomeUnknown.
	RentalResult struct {
		Rental   protocol.Rental
		Outcome  Outcome
		Machines []string
	}
	// ReleaseResult answers ReleaseMachines.
	ReleaseResult struct {
		Machines []string
		OK       bool
	}
)

// Commands from other sites and from the federation's configuration file.
type (
	// SiteMessageReceived is a message from another site whose sender has been verified.
	SiteMessageReceived struct{ Message federation.Message }
	// SiteConnected reports that messages can be sent to another site.
	SiteConnected struct{ Site federation.Site }
	// SiteConfig contains the federation's configuration, reloaded after a change.
	SiteConfig struct{ Config *federation.Config }
)
