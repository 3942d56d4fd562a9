package core

import (
	"net/url"
	"strings"

	"pepperlever/internal/core/job"
	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// Keys in the store. Every controller has a replica of everything below Root, through one watch;
// the final states of jobs are kept for good beside it.
const (
	Root          = "j/"
	keyJob        = Root + "a/" // j/a/<job>[/<chunk>]: a job that is not final
	keyCancel     = Root + "c/" // j/c/<job>: its user has cancelled it
	keyLeader     = Root + "h/" // j/h/<team>: the team's leader, attached to a lease
	keyFleet      = Root + "f"  // the leader of the fleet, attached to a lease
	keyNode       = Root + "n/" // j/n/<node>: a live controller, attached to a lease
	keyToken      = Root + "t"  // the counter of fencing tokens
	keyCordon     = Root + "x/" // j/x/<machine>: cordoned or terminated
	keyIntent     = Root + "v/" // j/v/<request>: a rental
	keyRecord     = Root + "r/" // j/r/<team>: its record of use
	keyRelay      = Root + "b/" // j/b/<node>/<page>: a controller's messages to those out of contact
	keyFederation = Root + "g"  // the leader of the federation; further keys in handoffs.go
	keyVersion    = Root + "p/" // j/p/<node>: the version that a controller has stated, for good
	keyState      = "u/"        // u/<job>: the final state of a job, for good
)

// isLeaderKey tells whether a key names the leader of a shard.
func isLeaderKey(key string) bool {
	return key == keyFleet || key == keyFederation || strings.HasPrefix(key, keyLeader)
}

// teamPart is a team's name as part of a key, which has no spaces or slashes of its own, and no
// percent signs that a server might decode on the way.
func teamPart(team string) string {
	return strings.ReplaceAll(strings.ReplaceAll(url.QueryEscape(team), "~", "%7E"), "%", "~")
}

// parseTeamPart is the team that a part of a key names.
func parseTeamPart(part string) (string, error) {
	return url.QueryUnescape(strings.ReplaceAll(part, "~", "%"))
}

func jobKey(id string) string { return keyJob + id }

func chunkKey(id string, chunk job.ChunkKey) string { return jobKey(id) + "/" + chunk.String() }

func cancelKey(id string) string { return keyCancel + id }

// firstChunk is the chunk of a job that is in its head.
var firstChunk = job.ChunkKey{}

// parseJobKey splits the key of a job's head or of a further chunk.
func parseJobKey(key string) (id string, chunk job.ChunkKey, ok bool) {
	id, part, further := strings.Cut(strings.TrimPrefix(key, keyJob), "/")
	if !further {
		return id, firstChunk, true
	}
	chunk, ok = job.ParseChunkKey(part)
	return id, chunk, ok
}

// putJSON is the change that stores a value in its JSON form.
func putJSON(key string, value any) protocol.Change {
	return protocol.Change{Put: key, Value: mustjson.Marshal(value)}
}
