package core

import (
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// Command is something that happened outside the core.
type Command any

// Commands from users and workers. Req names the request in Answer.
type (
	// Submit is a user's submission.
	Submit struct {
		Req  uint64
		Body []byte
	}
	// Status asks for the state of a job.
	Status struct {
		Req uint64
		ID  string
	}
	// Cancel cancels a job.
	Cancel struct {
		Req uint64
		ID  string
	}
	// List asks for a page of the jobs in the replica that have not ended. The page
	// begins after the job After.
	List struct {
		Req   uint64
		After string
	}
	// JobStatistics asks for the numbers of jobs by class, team and outcome.
	JobStatistics struct{ Req uint64 }
	// Health asks whether this node can take requests.
	Health struct{ Req uint64 }
	// Heartbeat is a worker's report.
	Heartbeat struct {
		Req    uint64
		Report protocol.Report
	}
)

// Outcome tells what became of a request to the store or to the cloud.
type Outcome uint8

// Outcomes of a request.
const (
	// Applied means carried out.
	Applied Outcome = iota
	// Conflict means that a condition failed; nothing was changed.
	Conflict
	// Missing means that the key does not exist.
	Missing
	// NoLease means that the lease of a write has expired; nothing was changed.
	NoLease
	// Refused means certainly not carried out.
	Refused
	// Unknown means that the request may have been carried out, or may still be.
	Unknown
)

// Commands from the store.
type (
	// StoreReply answers StoreTxn and StoreGet.
	StoreReply struct {
		ID      uint64
		Outcome Outcome
		// Unavailable marks a refusal that has other causes than the rate limit: an
		// immediate retry is of no use.
		Unavailable bool
		// RateLimited marks a refusal because of the rate limit, Oversized one because the
		// transaction exceeds the store's limits, or is malformed.
		RateLimited, Oversized bool
		Revision               uint64
		// Failed names the keys whose conditions failed; it may be incomplete.
		Failed []string
		// Item is what StoreGet has read.
		Item protocol.KeyValue
	}
	// SnapshotLoaded is everything that is stored, as of Revision or a little later.
	SnapshotLoaded struct {
		Revision uint64
		Items    []protocol.KeyValue
	}
	// StoreChanged holds all changes up to Revision.
	StoreChanged struct {
		Revision uint64
		Events   []protocol.Event
	}
	// LeaseGranted tells of a new lease.
	LeaseGranted struct{ Lease uint64 }
	// LeaseExpired tells that the lease has expired.
	LeaseExpired struct{}
	// StoreHealth tells whether the store answers this node.
	StoreHealth struct{ OK bool }
	// StoreLimitLowered tells that the store takes fewer changes a second than its limit
	// from before the upgrade.
	StoreLimitLowered struct{}
)

// Commands from other controllers, workers and the cloud.
type (
	// PeerMessageReceived is a message of another controller.
	PeerMessageReceived struct {
		Node    string
		Message PeerMessage
	}
	// PeerConnected tells that messages can now be sent to a controller.
	PeerConnected struct{ Node string }
	// PeerDisconnected tells that they no longer can.
	PeerDisconnected struct{ Node string }
	// DeliveryResult answers Deliver. Report is nil when no answer came.
	DeliveryResult struct {
		Machine  string
		Orders   protocol.Orders
		Executed bool
		Report   *protocol.Report
	}
	// CatalogReceived is the cloud's catalogue of machine types.
	CatalogReceived struct{ Types []protocol.MachineType }
	// InventoryReceived is the cloud's complete list of rented machines.
	InventoryReceived struct{ Machines []protocol.ListedMachine }
	// CloudHealth tells whether the cloud carries requests out, or refuses them because of
	// an outage.
	CloudHealth struct{ OK bool }
	// RentalResult answers RequestRental. Outcome is Applied, Refused (no capacity) or Unknown.
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
	// SiteMessageReceived is a message of another site, whose sender has been verified.
	SiteMessageReceived struct{ Message federation.Message }
	// SiteConnected tells that messages can be sent to another site.
	SiteConnected struct{ Site federation.Site }
	// SiteConfig is the federation's configuration, read again after a change.
	SiteConfig struct{ Config *federation.Config }
)
