package core

import (
	"pepperlever/internal/core/fairness"
	"pepperlever/internal/protocol"
)

// nodeRecord is the stored value of a live controller.
type nodeRecord struct {
	Incarnation string `json:"i"`
	Lease       uint64 `json:"l"`
	// Federation tells that it keeps away from jobs that were handed off.
	Federation bool `json:"g,omitempty"`
	version    uint64
}

// leaderRecord is the stored value of a shard's leader.
type leaderRecord struct {
	Node        string `json:"n"`
	Incarnation string `json:"i"`
}

// finalStateRecord is the stored final state of a job. While there is none, an accepted job has
// its active key, so every job has exactly one of the two but at the moment of its cancellation.
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

// rentalIntent is a rental that was decided on; the store knows it before the cloud.
type rentalIntent struct {
	Rental   protocol.Rental `json:"r"`
	Machines []string        `json:"m,omitempty"`
	version  uint64
	pending  bool
}

// usageRecord is the stored record of a team's use.
type usageRecord struct {
	Record fairness.Record `json:"r"`
}
