package core

import (
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// Effect is something that the core wants done outside.
type Effect any

// Effects.
type (
	// SendSite sends a message to another site.
	SendSite struct{ Message federation.Message }
	// Answer ends a request of a user or worker.
	Answer struct {
		Req    uint64
		Status int
		Body   any
		// RetryAfter is in seconds.
		RetryAfter int
	}
	// StoreTxn runs a transaction; Urgent ones go first. A user waits for
	// Quick ones, so they are refused early rather than retried for long.
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
	// FetchCatalog asks the cloud for its catalogue of machine types.
	FetchCatalog struct{}
	// FetchInventory asks the cloud for its list of rented machines.
	FetchInventory struct{}
	// RequestRental asks the cloud for machines.
	RequestRental struct{ Rental protocol.Rental }
	// ReleaseMachines gives machines back to the cloud.
	ReleaseMachines struct{ Machines []string }
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
