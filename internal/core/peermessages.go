package core

import (
	"pepperlever/internal/core/fairness"
	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// PeerMessage is a message between controllers. Exactly one field besides the addresses is set. To
// and From are set when the message passes through an intermediary. Any message may be lost. Most
// are requests or hints, but some are facts for the receiver: it relies on Accepted, Heartbeat,
// Cancellations and Acknowledged, takes Observations as evidence of the tasks on a machine, and
// removes the binding that a Refusal names.
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
	Federation    *FederationMessage `json:"g,omitempty"`
	Cancellations []Cancellation     `json:"w,omitempty"`
	// Acknowledged lists the jobs whose cancellation the sender knows of.
	Acknowledged []string `json:"a,omitempty"`
}

// Observation forwards a worker's report, with the fencing token that the controller of the machine
// has granted to the worker.
type Observation struct {
	Node   string          `json:"n"`
	Token  uint64          `json:"t"`
	Report protocol.Report `json:"r"`
	// Direct is set if the report is the reply to a delivery: the reports that the worker sends
	// on its own may not reach any controller.
	Direct bool `json:"d,omitempty"`
}

// isOfSameReport reports whether two observations of the same controller are of the same report.
func (o *Observation) isOfSameReport(other *Observation) bool {
	return o.Node == other.Node && o.Report.Machine == other.Report.Machine &&
		o.Report.WorkerEpoch == other.Report.WorkerEpoch && o.Report.Seq == other.Report.Seq
}

// Claim announces a binding that is being written to the store, so that no other leader uses
// the same capacity meanwhile. A binding takes effect only once it is stored.
type Claim struct {
	Machine string `json:"m"`
	Task    string `json:"t"`
	Attempt uint64 `json:"a"`
}

// Start asks the controller that serves a machine to start a bound task. It is sent at most once.
type Start struct {
	Machine string        `json:"m"`
	Task    string        `json:"t"`
	Attempt uint64        `json:"a"`
	Token   uint64        `json:"k"`
	Epoch   uint64        `json:"s"`
	Need    job.Resources `json:"r"`
	// Revision is a store revision at which the binding existed.
	Revision uint64 `json:"v,omitempty"`
}

// Refusal reports that a start command was not forwarded to the worker and never will be.
type Refusal struct {
	Machine string `json:"m"`
	Task    string `json:"t"`
	Attempt uint64 `json:"a"`
}

// TaskCommand asks the controller that serves a machine to stop or forget a task.
type TaskCommand struct {
	Machine string           `json:"m"`
	Command protocol.Command `json:"c"`
}

// Fence asks the controller that serves a machine to raise the machine's fencing token above
// Above, so that start commands under that token or a lower one have no effect from then on.
type Fence struct {
	Machine string `json:"m"`
	Above   uint64 `json:"k"`
}

// ReturnRequest asks the fleet leader to return a machine to the cloud, with everything
// that runs on it.
type ReturnRequest struct {
	Machine string `json:"m"`
	Reason  string `json:"w"`
}

// NodeHeartbeat is a controller's heartbeat to the other controllers.
type NodeHeartbeat struct {
	// Revision is the revision of the sender's replica, which holds every cancellation stored
	// up to then.
	Revision uint64 `json:"v,omitempty"`
	StoreOK  bool   `json:"s"`
	// PendingWrites counts the job changes that wait to be stored, by write rank.
	PendingWrites changesByRank `json:"d"`
	// Records are the usage records of the teams that the sender leads.
	Records map[string]fairness.Record `json:"r,omitempty"`
	// ReportingMachines lists the machines that have reported to the sender since its last
	// heartbeat. ReportSeqs holds the sequence numbers of their newest reports, in the same
	// order.
	ReportingMachines []string `json:"h,omitempty"`
	ReportSeqs        []uint64 `json:"q,omitempty"`
	// ID is unique to this heartbeat. Acknowledgements lists the newest heartbeat that the
	// sender has received from each other controller. Unacknowledged lists the controllers that
	// have not acknowledged all cancellations known to the sender.
	ID               string            `json:"n,omitempty"`
	Acknowledgements []Acknowledgement `json:"e,omitempty"`
	Unacknowledged   []string          `json:"w,omitempty"`
	// Unreachable lists the live controllers whose messages do not reach the sender.
	Unreachable []string `json:"m,omitempty"`
	// Disconnected lists the controllers that the sender has no connection to.
	Disconnected []string `json:"u,omitempty"`
}

// Acknowledgement identifies the newest heartbeat received from a controller.
type Acknowledgement struct {
	Node        string `json:"n"`
	HeartbeatID string `json:"s"`
}

// Cancellation states that the store holds the cancellation of a job. This is final, so the
// receiver acts on it immediately, even if its own replica does not show the cancellation yet.
type Cancellation struct {
	Job string `json:"j"`
	// Revision is a store revision at which the cancellation existed.
	Revision uint64 `json:"v"`
	// RequestedAt is the wall-clock time of the user's request in Unix milliseconds.
	RequestedAt int64 `json:"t,omitempty"`
}
