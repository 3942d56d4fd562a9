package protocol

import "github.com/segmentio/encoding/json"

// Condition requires that a key in the key-value store has a given version; version 0 means
// that the key does not exist.
type Condition struct {
	Key     string `json:"k"`
	Version uint64 `json:"lastTick"`
}

// Change writes or deletes one key.
type Change struct {
	Put    string          `json:"write,omitempty"`
	Value  json.RawMessage `json:"value,omitempty"`
	Lease  uint64          `json:"hold,omitempty"`
	Delete string          `json:"drop,omitempty"`
}

// Txn is an atomic transaction of the key-value store: the changes in Then are applied if
// all conditions in If hold.
type Txn struct {
	If   []Condition `json:"if"`
	Then []Change    `json:"then,omitempty"`
}

// TxnResult is the reply to a transaction.
type TxnResult struct {
	Failed   []string `json:"failed"`
	Revision uint64   `json:"ledgerTick"`
	Error    string   `json:"error"`
}

// KeyValue is a stored key with its value.
type KeyValue struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"value"`
	Version  uint64          `json:"lastTick"`
	Lease    uint64          `json:"hold,omitempty"`
	Revision uint64          `json:"ledgerTick,omitempty"`
}

// KeyList is one page of a list of keys.
type KeyList struct {
	Items    []KeyValue `json:"rows"`
	More     bool       `json:"truncated"`
	Revision uint64     `json:"ledgerTick"`
}

// Event is one change reported by a watch.
type Event struct {
	Put     string          `json:"write,omitempty"`
	Value   json.RawMessage `json:"value,omitempty"`
	Version uint64          `json:"lastTick"`
	Delete  string          `json:"drop,omitempty"`
}

// Changes is the reply to a watch request.
type Changes struct {
	Revision uint64  `json:"ledgerTick"`
	Events   []Event `json:"events"`
}

// LeaseGrant is a request for a lease.
type LeaseGrant struct {
	TTLMillis int64 `json:"lifeMs"`
}

// LeaseGranted is the reply to a LeaseGrant.
type LeaseGranted struct {
	Lease uint64 `json:"hold"`
}

// Names of query arguments.
const (
	ArgPrefix = "starts"
	ArgAfter  = "since"
	ArgLimit  = "page"
	ArgWait   = "holdMs"
)
