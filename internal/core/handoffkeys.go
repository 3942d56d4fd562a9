package core

import (
	"fmt"
	"strconv"
	"strings"

	"pepperlever/internal/federation"
)

// Keys of the hand-offs between sites. Only the leader of the federation shard writes them.
const (
	keyOutgoing     = keyFederation + "a/" // j/ga/<job>: an outgoing hand-off; another site may run the job
	keyIncoming     = keyFederation + "t/" // j/gt/<origin>/<epoch>: an incoming hand-off and this site's decision
	keyLowWaterMark = keyFederation + "f/" // j/gf/<origin>: the hand-off epoch up to which all incoming hand-offs are closed
	keyLastEpoch    = keyFederation + "e/" // j/ge/<site>: the highest hand-off epoch used for a site
	keyDrained      = keyFederation + "d/" // j/gd/<site>: the site is drained; no new hand-offs with it
)

func outgoingKey(id string) string { return keyOutgoing + id }

func incomingKey(id federation.IncomingID) string {
	return keyIncoming + string(id.Origin) + "/" + strconv.FormatUint(uint64(id.Epoch), 10)
}

func lowWaterMarkKey(site federation.Site) string { return keyLowWaterMark + string(site) }

func lastEpochKey(site federation.Site) string { return keyLastEpoch + string(site) }

func drainedKey(site federation.Site) string { return keyDrained + string(site) }

// parseHandoffKey splits the key of a hand-off record into its kind, which is the key prefix, and its
// name.
func parseHandoffKey(key string) (kind, name string, err error) {
	for _, kind := range []string{keyOutgoing, keyIncoming, keyLowWaterMark, keyLastEpoch, keyDrained} {
		if name, found := strings.CutPrefix(key, kind); found {
			return kind, name, nil
		}
	}
	return "", "", fmt.Errorf("parse hand-off key %q: %w", key, strconv.ErrSyntax)
}

// parseIncomingID parses the name of an incoming hand-off's record.
func parseIncomingID(name string) (federation.IncomingID, error) {
	origin, number, _ := strings.Cut(name, "/")
	epoch, err := strconv.ParseUint(number, 10, 64)
	if err != nil {
		return federation.IncomingID{}, fmt.Errorf("parse epoch of an incoming hand-off: %w", err)
	}
	return federation.IncomingID{Origin: federation.Site(origin), Epoch: federation.Epoch(epoch)}, nil
}
