package core

import (
	"pepperlever/internal/core/fairness"
	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// PeerMessage is a message between controllers. Besides the addresses exactly one field
// is set. To and From are set when an intermediary passes the message on. Only
// Cancellations state a fact; all other messages are advice.
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
	// Acknowledged names the jobs whose cancellation the sender knows of.
	Acknowledged []string `json:"a,omitempty"`
}

// Observation passes a worker's report on, with the fencing token under which it was answered.
type Observation struct {
	Node   string          `json:"n"`
	Token  uint64          `json:"t"`
	Report protocol.Report `json:"r"`
	// Direct is set where the report is the reply to a delivery: the worker's own
	// heartbeats may reach no controller.
	Direct bool `json:"d,omitempty"`
}

// Claim tells of a binding on its way to the store, so that no other leader uses the
// same capacity meanwhile. Only the store makes a binding.
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

// Refusal tells that a start was not forwarded and never will be.
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

// Fence asks the machine's controller to raise its fencing token above Above, so that
// starts sent under that token have no effect from then on.
type Fence struct {
	Machine string `json:"m"`
	Above   uint64 `json:"k"`
}

// ReturnRequest asks the leader of the fleet to give a machine back with all that runs on it.
type ReturnRequest struct {
	Machine string `json:"m"`
	Reason  string `json:"w"`
}

// NodeHeartbeat is a controller's heartbeat to the other controllers.
type NodeHeartbeat struct {
	// Revision is how far the sender's replica is: it holds each cancellation up to there.
	Revision uint64 `json:"v,omitempty"`
	StoreOK  bool   `json:"s"`
	// PendingWrites is how many changes of jobs wait to be stored, by rank.
	PendingWrites changesByRank `json:"d"`
	// Records are the usage records of the teams that the sender leads.
	Records map[string]fairness.Record `json:"r,omitempty"`
	// ReportingMachines names the machines that have reported to the sender since its last
	// heartbeat, ReportSeqs the sequence numbers of their newest reports in the same order.
	ReportingMachines []string `json:"h,omitempty"`
	ReportSeqs        []uint64 `json:"q,omitempty"`
	// ID is unique to this heartbeat, Acknowledgements are the newest heartbeats that have
	// come from each other controller, Unacknowledged names the controllers that the sender
	// has cancellations for which they have not acknowledged.
	ID               string            `json:"n,omitempty"`
	Acknowledgements []Acknowledgement `json:"e,omitempty"`
	Unacknowledged   []string          `json:"w,omitempty"`
	// Unreachable names the live controllers that the sender gets no messages from.
	Unreachable []string `json:"m,omitempty"`
	// Disconnected names the controllers that the sender has no connection to.
	Disconnected []string `json:"u,omitempty"`
}

// Acknowledgement names the newest heartbeat that has come from a controller.
type Acknowledgement struct {
	Node        string `json:"n"`
	HeartbeatID string `json:"s"`
}

// Cancellation says that the store holds the cancellation of a job. That is final, so the
// receiver acts on it at once, whatever its own replica shows.
type Cancellation struct {
	Job string `json:"j"`
	// Revision is one at which the store held the cancellation.
	Revision uint64 `json:"v"`
	// RequestedAt is the time of day of the user's request, in Unix milliseconds.
	RequestedAt int64 `json:"t,omitempty"`
}
