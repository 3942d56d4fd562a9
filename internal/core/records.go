package core

import (
	"pepperlever/internal/core/fairness"
	"pepperlever/internal/protocol"
)

// nodeRecord is the stored value of a live controller.
type nodeRecord struct {
	Incarnation string `json:"i"`
	Lease       uint64 `json:"l"`
	// SupportsFederation is set if the controller has a federation configuration, and so doesn't
	// run jobs that were handed off.
	SupportsFederation bool `json:"g,omitempty"`
	version            uint64
}

// leaderRecord is the stored value of a shard's leader.
type leaderRecord struct {
	Node        string `json:"n"`
	Incarnation string `json:"i"`
}

// finalStateRecord is the stored final state of a job. Until it exists, an accepted job has a head
// under its active key. A job has exactly one of the two, except while a cancellation is carried
// out, when it has both.
type finalStateRecord struct {
	State string `json:"s"`
	Tasks int    `json:"n"`
}

// tokenCounter is the stored value of the fencing token counter.
type tokenCounter struct {
	Token       uint64 `json:"t"`
	Node        string `json:"n"`
	Incarnation string `json:"i"`
}

// rentalIntent is the intent to rent machines. It is stored before the cloud is asked for them.
type rentalIntent struct {
	Rental protocol.Rental `json:"r"`
	// Machines lists the machines that the cloud has supplied. It is nil until the cloud replies.
	Machines []string `json:"m,omitempty"`
	version  uint64
	// pending is set while a request to the cloud or the store for this intent is unanswered.
	pending bool
}

// usageRecord is the stored record of a team's resource usage.
type usageRecord struct {
	Record fairness.Record `json:"r"`
}
