package core

import (
	"net/url"
	"strings"

	"pepperlever/internal/core/job"
	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// Keys in the store. Every controller replicates everything below Root through a single watch.
// Final states of jobs are stored outside Root and are never deleted.
const (
	Root            = "j/"
	keyJob          = Root + "a/" // j/a/<job>[/<chunk>]: a job that is not final
	keyCancel       = Root + "c/" // j/c/<job>: the job was cancelled by its user
	keyLeader       = Root + "h/" // j/h/<team>: the leader of a team, attached to its controller lease
	keyFleet        = Root + "f"  // the fleet leader, attached to its controller lease
	keyNode         = Root + "n/" // j/n/<node>: a live controller, attached to its lease
	keyToken        = Root + "t"  // the counter of fencing tokens
	keyCordon       = Root + "x/" // j/x/<machine>: the machine is cordoned or terminated
	keyRentalIntent = Root + "v/" // j/v/<request>: a rental intent
	keyUsageRecord  = Root + "r/" // j/r/<team>: the usage record of a team
	keyRelay        = Root + "b/" // j/b/<node>/<page>: messages to controllers that can't be reached directly
	keyFederation   = Root + "g"  // the leader of the federation shard, attached to its controller lease; see also handoffkeys.go
	keyVersion      = Root + "p/" // j/p/<node>: the version of a controller; never deleted
	keyProgress     = Root + "o/" // j/o/<job>: the progress of an outgoing job at its site; only the federation leader writes it
	keyState        = "u/"        // u/<job>: the final state of a job; never deleted
)

// isLeaderKey reports whether a key holds the leader of a shard.
func isLeaderKey(key string) bool {
	return key == keyFleet || key == keyFederation || strings.HasPrefix(key, keyLeader)
}

// encodeTeamName encodes a team's name for use in a key. The result has no spaces or slashes, and
// no percent signs, which an intermediate server might decode.
func encodeTeamName(team string) string {
	return strings.ReplaceAll(strings.ReplaceAll(url.QueryEscape(team), "~", "%7E"), "%", "~")
}

// decodeTeamName decodes the result of encodeTeamName.
func decodeTeamName(part string) (string, error) {
	return url.QueryUnescape(strings.ReplaceAll(part, "~", "%"))
}

func jobKey(id string) string { return keyJob + id }

func chunkKey(id string, chunk job.ChunkKey) string { return jobKey(id) + "/" + chunk.String() }

func progressKey(id string) string { return keyProgress + id }

func cancelKey(id string) string { return keyCancel + id }

// firstChunk identifies the first chunk of a job, which is part of the head and has no store key of
// its own.
var firstChunk = job.ChunkKey{}

// parseJobKey splits the key of a job's head, or of a chunk under its own key, into job and chunk.
func parseJobKey(key string) (id string, chunk job.ChunkKey, ok bool) {
	id, part, hasChunk := strings.Cut(strings.TrimPrefix(key, keyJob), "/")
	if !hasChunk {
		return id, firstChunk, true
	}
	chunk, ok = job.ParseChunkKey(part)
	return id, chunk, ok
}

// putJSON returns a change that stores a value as JSON.
func putJSON(key string, value any) protocol.Change {
	return protocol.Change{Put: key, Value: mustjson.Marshal(value)}
}
