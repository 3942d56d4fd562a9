package core

import "pepperlever/internal/federation"

// FederationNote is what controllers tell one another about the federation. One of its
// fields is set: a message of another site, a job to be cancelled, the progress of
// jobs, an operator's request, or the reply to one.
type FederationNote struct {
	Message  *federation.Message `json:"m,omitempty"`
	Cancel   string              `json:"c,omitempty"`
	Progress map[string]Progress `json:"p,omitempty"`
	Request  *OperatorRequest    `json:"a,omitempty"`
	Reply    *OperatorReply      `json:"t,omitempty"`
}

// Progress is how many tasks of a job at another site are done and running.
type Progress struct {
	Done    int `json:"d,omitempty"`
	Running int `json:"r,omitempty"`
}

// OperatorRequest is an operator's query or instruction to the federation adapter.
type OperatorRequest struct {
	Req uint64         `json:"q"`
	Op  OperatorAction `json:"o"`
	// Name is a job or a site.
	Name     string `json:"name"`
	On       bool   `json:"on"`
	Operator string `json:"operator"`
	Reason   string `json:"why"`
}

// OperatorAction is what an operator wants.
type OperatorAction string

// Actions of operators.
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

// SiteStatus is the state of the federation adapter, and the controller that leads it.
type SiteStatus struct {
	Node string `json:"node"`
	federation.Status
}

// OperatorResult is the outcome of an operator's instruction.
type OperatorResult struct {
	Message string `json:"said"`
}
