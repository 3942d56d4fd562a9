package core

import (
	"time"

	"pepperlever/internal/core/fairness"
	"pepperlever/internal/core/job"
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// Command is something that happened outside the core.
type Command any

// Effect is something that the core wants done outside.
type Effect any

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
	// Cancel withdraws a job.
	Cancel struct {
		Req uint64
		ID  string
	}
	// List asks for a page of the jobs that have not ended, as this node last
	// heard of them, beginning after an id.
	List struct {
		Req   uint64
		After string
	}
	// JobStatistics asks what has become of jobs, by class and team.
	JobStatistics struct{ Req uint64 }
	// Health asks whether this node can take requests.
	Health struct{ Req uint64 }
	// Heartbeat is a worker's report.
	Heartbeat struct {
		Req    uint64
		Report protocol.Report
	}
)

// Outcome tells what became of a request to the state service.
type Outcome uint8

// Outcomes of a request to the state service.
const (
	// Applied means carried out.
	Applied Outcome = iota
	// Conflict means that a condition failed; nothing was changed.
	Conflict
	// Missing means that the key does not exist.
	Missing
	// NoLease means that the lease of a write has ended; nothing was changed.
	NoLease
	// Refused means certainly not carried out.
	Refused
	// Unknown means perhaps carried out, perhaps later.
	Unknown
)

// Commands from the state service.
type (
	// StoreReply answers StoreTxn and StoreGet.
	StoreReply struct {
		ID      uint64
		Outcome Outcome
		// Down tells of a refusal that is not for want of room: trying again at
		// once is no use.
		Down bool
		// TooMany tells of a refusal for want of room, Oversized of one because the
		// transaction does not fit the state service's limits, or is malformed.
		TooMany, Oversized bool
		Revision           uint64
		Failed             []string
		Item               protocol.KeyValue
	}
	// SnapshotLoaded is the whole stored state as of Revision or a little later.
	SnapshotLoaded struct {
		Revision uint64
		Items    []protocol.KeyValue
	}
	// StoreChanged holds all changes up to Revision.
	StoreChanged struct {
		Revision uint64
		Events   []protocol.Event
	}
	// LeaseGranted tells of a fresh lease, LeaseExpired of its end.
	LeaseGranted struct{ Lease uint64 }
	// LeaseExpired tells that the lease has ended.
	LeaseExpired struct{}
	// StoreHealth tells whether the state service answers this node.
	StoreHealth struct{ OK bool }
	// StoreLimitLowered tells that the state service takes fewer changes than its limit of
	// before the upgrade.
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
	// Delivered answers Deliver. Report is nil when no answer came.
	Delivered struct {
		Machine  string
		Orders   protocol.Orders
		Executed bool
		Report   *protocol.Report
	}
	// CatalogReceived is the cloud's catalogue.
	CatalogReceived struct{ Types []protocol.MachineType }
	// InventoryReceived is the cloud's complete list of machines.
	InventoryReceived struct{ Machines []protocol.ListedMachine }
	// CloudHealth tells whether the cloud acts, or refuses because of an outage.
	CloudHealth struct{ OK bool }
	// Rented answers Rent. Outcome is Applied, Refused (no capacity) or Unknown.
	Rented struct {
		Rental   protocol.Rental
		Outcome  Outcome
		Machines []string
	}
	// Released answers Release.
	Released struct {
		Machines []string
		OK       bool
	}
)

// Commands from other sites and the operator's gateway file.
type (
	// SiteMessageReceived is a message of another site, whose sender has been verified.
	SiteMessageReceived struct{ Message federation.Message }
	// SiteUp tells that messages can be sent to another site.
	SiteUp struct{ Site federation.Site }
	// SiteConfig is the gateway file, read again after a change.
	SiteConfig struct{ Config *federation.Config }
)

// Effects.
type (
	// SendSite sends a message to another site.
	SendSite struct{ Message federation.Message }
	// Answer ends a request of a user or worker.
	Answer struct {
		Req        uint64
		Status     int
		Body       any
		RetryAfter int
	}
	// StoreTxn runs a transaction; Urgent ones go first. A user waits for
	// Quick ones, so that they are refused early rather than tried for long.
	StoreTxn struct {
		ID     uint64
		Txn    protocol.Txn
		Urgent bool
		Quick  bool
	}
	// StoreGet reads one key.
	StoreGet struct {
		ID    uint64
		Key   string
		Quick bool
	}
	// StoreReload reads everything again.
	StoreReload struct{}
	// SendPeer sends a message to some controllers.
	SendPeer struct {
		Nodes   []string
		Message PeerMessage
	}
	// Deliver sends commands straight to a worker.
	Deliver struct {
		Machine, Address string
		Orders           protocol.Orders
	}
	// FetchCatalog and FetchList ask the cloud.
	FetchCatalog struct{}
	// FetchList asks the cloud for its list of machines.
	FetchList struct{}
	// Rent asks the cloud for machines.
	Rent struct{ Rental protocol.Rental }
	// Release gives machines back.
	Release struct{ Machines []string }
	// Log is a line for the operator.
	Log struct {
		Level Level
		Text  string
		Attrs []any
	}
)

// Level is the importance of a log line.
type Level uint8

// Levels of log lines.
const (
	Debug Level = iota
	Info
	Error
)

// PeerMessage is what controllers say to one another. Besides the addresses exactly
// one field is set. To and From are given when a third node passes it on.
type PeerMessage struct {
	To            string             `json:"to,omitempty"`
	From          string             `json:"from,omitempty"`
	Observations  []Observation      `json:"o,omitempty"`
	Accepted      *protocol.KeyValue `json:"j,omitempty"`
	Claims        []Claim            `json:"k,omitempty"`
	Start         *Start             `json:"s,omitempty"`
	Refusal       *Refusal           `json:"r,omitempty"`
	Command       *TaskCommand       `json:"c,omitempty"`
	Fence         *Fence             `json:"f,omitempty"`
	ReturnRequest *ReturnRequest     `json:"x,omitempty"`
	Heartbeat     *NodeHeartbeat     `json:"b,omitempty"`
	Federation    *FederationNote    `json:"g,omitempty"`
	Cancellations []Cancellation     `json:"w,omitempty"`
	Acknowledged  []string           `json:"a,omitempty"`
}

// FederationNote is what controllers say to one another about the gateway. One of its
// parts is set: a message of another site, a job to be cancelled, jobs' progress,
// an operator's question, or its answer.
type FederationNote struct {
	Message  *federation.Message `json:"m,omitempty"`
	Cancel   string              `json:"c,omitempty"`
	Progress map[string]Progress `json:"p,omitempty"`
	Request  *OperatorRequest    `json:"a,omitempty"`
	Reply    *OperatorReply      `json:"t,omitempty"`
}

// Progress is how a job that is away gets on.
type Progress struct {
	Done    int `json:"d,omitempty"`
	Running int `json:"r,omitempty"`
}

// OperatorRequest is an operator's question, or word, to the gateway.
type OperatorRequest struct {
	Req uint64         `json:"q"`
	Op  OperatorAction `json:"o"`
	// Name is a job or a site.
	Name     string `json:"name"`
	On       bool   `json:"on"`
	Operator string `json:"operator"`
	Why      string `json:"why"`
}

// OperatorAction is what an operator wants.
type OperatorAction string

// What operators may want.
const (
	ActionStatus   OperatorAction = "status"
	ActionHandoffs OperatorAction = "handoffs"
	ActionGiveUp   OperatorAction = "give-up"
	ActionDrain    OperatorAction = "drain"
	ActionRenew    OperatorAction = "renew"
)

// OperatorReply answers OperatorRequest to the node that it came from.
type OperatorReply struct {
	Req    uint64 `json:"q"`
	Status int    `json:"s"`
	Body   []byte `json:"b"`
}

// SiteStatus is the gateway's state, and which controller is its home.
type SiteStatus struct {
	Node string `json:"node"`
	federation.Status
}

// OperatorResult is what was done on an operator's word.
type OperatorResult struct {
	Said string `json:"said"`
}

// Observation passes a worker's report on, with the term it was answered under.
type Observation struct {
	Node   string          `json:"n"`
	Token  uint64          `json:"t"`
	Report protocol.Report `json:"r"`
	// Direct is set where it is the reply to a direct call: the worker's reports may
	// reach nobody.
	Direct bool `json:"d,omitempty"`
}

// Claim tells of a binding on its way to the store, so that no other home takes
// the same room meanwhile. It is advice: nothing but the store makes a binding.
type Claim struct {
	Machine string `json:"m"`
	Task    string `json:"t"`
	Attempt uint64 `json:"a"`
}

// Start asks the machine's controller to start a bound task. It is sent once.
type Start struct {
	Machine string        `json:"m"`
	Task    string        `json:"t"`
	Attempt uint64        `json:"a"`
	Token   uint64        `json:"k"`
	Epoch   uint64        `json:"s"`
	Need    job.Resources `json:"r"`
	// Revision is one at which the store held the binding.
	Revision uint64 `json:"v,omitempty"`
}

// Refusal tells that a start was not and never will be forwarded.
type Refusal struct {
	Machine string `json:"m"`
	Task    string `json:"t"`
	Attempt uint64 `json:"a"`
}

// TaskCommand asks the machine's controller to stop or forget a task.
type TaskCommand struct {
	Machine string           `json:"m"`
	Command protocol.Command `json:"c"`
}

// Fence asks the machine's controller to raise its term above Above, so that
// starts sent under it are harmless from then on.
type Fence struct {
	Machine string `json:"m"`
	Above   uint64 `json:"k"`
}

// ReturnRequest asks the renter to give a machine back with all that is on it.
type ReturnRequest struct {
	Machine string `json:"m"`
	Why     string `json:"w"`
}

// NodeHeartbeat is a controller's sign of life with its records of its teams.
type NodeHeartbeat struct {
	// Revision is how far the replica is: it has each cancellation up to there.
	Revision uint64 `json:"v,omitempty"`
	StoreOK  bool   `json:"s"`
	// Due is how many changes of jobs wait to be stored, by rank.
	Due     ranks                      `json:"d"`
	Records map[string]fairness.Record `json:"r,omitempty"`
	// Heard names the machines that this node has heard since its last beat.
	Heard []string `json:"h,omitempty"`
	// Seqs are the sequence numbers of their newest reports, in the same order.
	Seqs []uint64 `json:"q,omitempty"`
	// Stamp tells this beat from others, Echoes are the newest beats of the others that
	// came here, Owes names those to whom this node has cancellations to pass on.
	Stamp            string            `json:"n,omitempty"`
	Acknowledgements []Acknowledgement `json:"e,omitempty"`
	Unacknowledged   []string          `json:"w,omitempty"`
	// Unreachable names the live controllers that this node does not hear.
	Unreachable []string `json:"m,omitempty"`
	// Disconnected names the controllers that this node has no link to.
	Disconnected []string `json:"u,omitempty"`
}

// Now is the time of one step: Steady for intervals, Wall (milliseconds) for
// what has to be compared between controllers and matters to no rule.
type Now struct {
	Steady time.Duration
	Wall   int64
}
