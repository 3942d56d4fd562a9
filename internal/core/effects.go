package core

import (
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// Effect is an output of the core: an action for its caller to carry out.
type Effect any

// Effects of a step.
type (
	// SendSite sends a message to another site.
	SendSite struct{ Message federation.Message }
	// Answer answers a request of a user or worker.
	Answer struct {
		Req    uint64
		Status int
		Body   any
		// RetryAfter is in seconds.
		RetryAfter int
	}
	// StoreTxn runs a transaction. Urgent and FailFast transactions go first. A user waits for a
	// FailFast transaction, so it fails early instead of being retried for long.
	StoreTxn struct {
		ID       uint64
		Txn      protocol.Txn
		Urgent   bool
		FailFast bool
	}
	// StoreGet reads one key.
	StoreGet struct {
		ID       uint64
		Key      string
		FailFast bool
	}
	// StoreReload reads the whole store again.
	StoreReload struct{}
	// SendPeer sends a message to the given controllers.
	SendPeer struct {
		Nodes   []string
		Message PeerMessage
	}
	// Deliver sends commands directly to a worker, without waiting for its next report.
	Deliver struct {
		Machine, Address string
		CommandBatch     protocol.CommandBatch
	}
	// FetchCatalog requests the cloud's catalog of machine types.
	FetchCatalog struct{}
	// FetchInventory requests the cloud's list of rented machines.
	FetchInventory struct{}
	// RequestRental rents machines from the cloud.
	RequestRental struct{ Rental protocol.Rental }
	// ReleaseMachines calls the cloud to release machines.
	ReleaseMachines struct{ Machines []string }
	// Log is a log message.
	Log struct {
		Level Level
		Text  string
		Attrs []any
	}
)

// Level is the severity of a log message.
type Level uint8

// Levels of log messages.
const (
	Debug Level = iota
	Info
	Error
)
