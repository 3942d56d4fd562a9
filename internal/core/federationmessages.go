package core

import "pepperlever/internal/federation"

// FederationMessage is a message about the federation between controllers of one site. Exactly one
// field is set: a message from another site, the ID of a job to cancel, the progress of jobs at
// other sites, an operator's request, or the reply to such a request.
type FederationMessage struct {
	Message  *federation.Message `json:"m,omitempty"`
	Cancel   string              `json:"c,omitempty"`
	Progress map[string]Progress `json:"p,omitempty"`
	Request  *OperatorRequest    `json:"a,omitempty"`
	Reply    *OperatorReply      `json:"t,omitempty"`
}

// OperatorRequest is an operator's query or command for the federation adapter.
type OperatorRequest struct {
	Req uint64         `json:"q"`
	Op  OperatorAction `json:"o"`
	// Name is the job or site that the request is about.
	Name     string `json:"name"`
	On       bool   `json:"on"`
	Operator string `json:"operator"`
	Reason   string `json:"why"`
}

// OperatorAction is the action that an operator requests.
type OperatorAction string

// Operator actions.
const (
	ActionStatus   OperatorAction = "status"
	ActionHandoffs OperatorAction = "handoffs"
	ActionGiveUp   OperatorAction = "give-up"
	ActionDrain    OperatorAction = "drain"
	ActionRenew    OperatorAction = "renew"
)

// OperatorReply is the reply to an OperatorRequest, sent to the controller that forwarded it.
type OperatorReply struct {
	Req    uint64 `json:"q"`
	Status int    `json:"s"`
	Body   []byte `json:"b"`
}

// SiteStatus is the status of the federation at this site. Node is the controller that runs the
// coordinator.
type SiteStatus struct {
	Node string `json:"node"`
	federation.Status
}

// OperatorResult is the outcome of an operator's command.
type OperatorResult struct {
	Message string `json:"said"`
}
