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
	Root       = "j/"
	keyActive  = Root + "a/" // j/a/<job>[/<chunk>]: a job that is not final
	keyCancel  = Root + "c/" // j/c/<job>: its user has cancelled it
	keyHome    = Root + "h/" // j/h/<team>: the team's home, attached to a lease
	keyNode    = Root + "n/" // j/n/<node>: a live controller, attached to a lease
	keyTerm    = Root + "t"  // the counter of fencing tokens
	keyMark    = Root + "x/" // j/x/<machine>: closing or gone
	keyIntent  = Root + "v/" // j/v/<request>: a rental
	keyRecord  = Root + "r/" // j/r/<team>: remembered use
	keyBoard   = Root + "b/" // j/b/<node>/<page>: what a controller has to say to those that can't hear it
	keyGate    = Root + "g"  // the home of the gateway to other sites; its records begin alike, see sites.go
	keyVersion = Root + "p/" // j/p/<node>: the version of the program that a controller has, for good
	keyState   = "u/"        // u/<job>: the final state of a job, for good
	keyFleet   = Root + "f"  // the home of the renting of machines
	fleetName  = "fleet"
	finalsKept = 8192
)

// nodeKey is the value of a live controller.
type nodeKey struct {
	Inc   string `json:"i"`
	Lease uint64 `json:"l"`
	// Gate tells that it knows of jobs that are away.
	Gate    bool `json:"g,omitempty"`
	version uint64
}

// homeKey is the value of a team's home.
type homeKey struct {
	Node string `json:"n"`
	Inc  string `json:"i"`
}

// mark is the value of a machine that takes no new bindings. Gone is proof
// that it and all that was on it are gone.
type mark struct {
	Gone    bool   `json:"g,omitempty"`
	Why     string `json:"w,omitempty"`
	version uint64
	since   time.Duration
}

// stateKey is the final state of a job. While there is none, an accepted job
// has its active key, so every job is one key at any time but the moment of its
// cancellation.
type stateKey struct {
	State string `json:"s"`
	Tasks int    `json:"n"`
}

// counter is the value of the term counter.
type counter struct {
	Term uint64 `json:"t"`
	Node string `json:"n"`
	Inc  string `json:"i"`
}

// intent is a rental that was decided on; the store knows it before the cloud.
type intent struct {
	Rental   protocol.Rental `json:"r"`
	Machines []string        `json:"m,omitempty"`
	version  uint64
	busy     bool
}

// recordKey is the stored record of one team.
type recordKey struct {
	Record fairness.Record `json:"r"`
}

// raw gives the JSON form of plain data.
func raw(v any) json.RawMessage {
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

func put(key string, v any) protocol.Change { return protocol.Change{Put: key, Value: raw(v)} }

func activeKey(id string) string { return keyActive + id }

func chunkKey(id string, chunk job.ChunkKey) string { return activeKey(id) + "/" + chunk.String() }

func cancelKey(id string) string { return keyCancel + id }

// firstChunk is the chunk of a job that is in its head.
var firstChunk = job.ChunkKey{}

// splitActive takes the key of a job or of a chunk apart.
func splitActive(key string) (id string, chunk job.ChunkKey, ok bool) {
	id, part, further := strings.Cut(strings.TrimPrefix(key, keyActive), "/")
	if !further {
		return id, firstChunk, true
	}
	chunk, ok = job.ParseChunkKey(part)
	return id, chunk, ok
}

// recordTxn stores a team's record while this node is its home.
func recordTxn(t *team) protocol.Txn {
	return protocol.Txn{
		If:   []protocol.Condition{t.held()},
		Then: []protocol.Change{put(keyRecord+teamPart(t.Name), recordKey{t.record})},
	}
}
