package core

import (
	"net/url"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/fairness"
	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// Keys in the store. Everything below Root is mirrored by every controller
// through one watch; the states that users see are kept forever beside it.
const (
	Root           = "j/"
	keyJob         = Root + "a/" // j/a/<job>[/<chunk>]: a job that is not final
	keyCancel      = Root + "c/" // j/c/<job>: its user has cancelled it
	keyLeader      = Root + "h/" // j/h/<team>: the team's home, attached to a lease
	keyNode        = Root + "n/" // j/n/<node>: a live controller, attached to a lease
	keyToken       = Root + "t"  // the counter of fencing tokens
	keyCordon      = Root + "x/" // j/x/<machine>: closing or gone
	keyIntent      = Root + "v/" // j/v/<request>: a rental
	keyRecord      = Root + "r/" // j/r/<team>: remembered use
	keyRelay       = Root + "b/" // j/b/<node>/<page>: what a controller has to say to those that can't hear it
	keyFederation  = Root + "g"  // the home of the gateway to other sites; its records begin alike, see sites.go
	keyVersion     = Root + "p/" // j/p/<node>: the version of the program that a controller has, for good
	keyState       = "u/"        // u/<job>: the final state of a job, for good
	keyFleet       = Root + "f"  // the home of the renting of machines
	fleetName      = "fleet"
	maxFinalStates = 8192
)

// nodeRecord is the value of a live controller.
type nodeRecord struct {
	Incarnation string `json:"i"`
	Lease       uint64 `json:"l"`
	// Federation tells that it knows of jobs that are away.
	Federation bool `json:"g,omitempty"`
	version    uint64
}

// leaderRecord is the value of a team's home.
type leaderRecord struct {
	Node        string `json:"n"`
	Incarnation string `json:"i"`
}

// cordonRecord is the value of a machine that takes no new bindings. Gone is proof
// that it and all that was on it are gone.
type cordonRecord struct {
	Terminated bool   `json:"g,omitempty"`
	Reason     string `json:"w,omitempty"`
	version    uint64
	since      time.Duration
}

// finalStateRecord is the final state of a job. While there is none, an accepted job
// has its active key, so every job is one key at any time but the moment of its
// cancellation.
type finalStateRecord struct {
	State string `json:"s"`
	Tasks int    `json:"n"`
}

// tokenCounter is the value of the term counter.
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

// usageRecord is the stored record of one team.
type usageRecord struct {
	Record fairness.Record `json:"r"`
}

// mustMarshal gives the JSON form of plain data.
func mustMarshal(v any) json.RawMessage {
	out, err := json.Marshal(v)
	if err != nil {
		panic(err) // plain data always has a JSON form
	}
	return out
}

// teamPart is a team's name as part of a key, which has no spaces or slashes of
// its own, and no percent signs that a server might decode on the way.
func teamPart(team string) string {
	return strings.ReplaceAll(strings.ReplaceAll(url.QueryEscape(team), "~", "%7E"), "%", "~")
}

// teamOf is the team that a part of a key names.
func teamOf(part string) (string, error) {
	return url.QueryUnescape(strings.ReplaceAll(part, "~", "%"))
}

func putJSON(key string, v any) protocol.Change {
	return protocol.Change{Put: key, Value: mustMarshal(v)}
}

func jobKey(id string) string { return keyJob + id }

func chunkKey(id string, chunk job.ChunkKey) string { return jobKey(id) + "/" + chunk.String() }

func cancelKey(id string) string { return keyCancel + id }

// firstChunk is the chunk of a job that is in its head.
var firstChunk = job.ChunkKey{}

// parseJobKey takes the key of a job or of a chunk apart.
func parseJobKey(key string) (id string, chunk job.ChunkKey, ok bool) {
	id, part, further := strings.Cut(strings.TrimPrefix(key, keyJob), "/")
	if !further {
		return id, firstChunk, true
	}
	chunk, ok = job.ParseChunkKey(part)
	return id, chunk, ok
}

// usageRecordTxn stores a team's record while this node is its home.
func usageRecordTxn(t *team) protocol.Txn {
	return protocol.Txn{
		If:   []protocol.Condition{t.leaderCondition()},
		Then: []protocol.Change{putJSON(keyRecord+teamPart(t.Name), usageRecord{t.record})},
	}
}
