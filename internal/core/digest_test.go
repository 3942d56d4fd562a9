package core

import (
	"crypto/sha256"
	"encoding/json"
	"flag"
	"fmt"
	"hash"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

// effectsDigest makes the test of random scenarios print one hash of all effects of the
// controllers. Two versions of the program that print the same hash for the same -rapid.seed and
// -rapid.checks behave the same in those scenarios:
//
//	go test ./internal/core -run TestInvariantsHoldUnderRandomFaults -rapid.seed=7 -rapid.checks=2 -v -effects-digest
var effectsDigest = flag.Bool("effects-digest", false, "print a digest of the effects of all random scenarios")

// scenarioDigests collects one hash for each scenario. Scenarios run in parallel, so the hashes
// are sorted before they are combined.
var scenarioDigests struct {
	sync.Mutex
	sums []string
}

// effectRecorder hashes the effects of one scenario in the order in which they occur.
type effectRecorder struct{ sum hash.Hash }

// newEffectRecorder returns a recorder of no effects yet.
func newEffectRecorder() *effectRecorder { return &effectRecorder{sum: sha256.New()} }

// record adds an effect to the hash. Log lines and the names of effect types and their fields are
// left out, because rewording and renaming must not change the digest.
func (r *effectRecorder) record(now time.Duration, node string, e Effect) {
	if !*effectsDigest {
		return
	}
	var parts []any
	switch e := e.(type) {
	case Log:
		return
	case SendSite:
		parts = []any{"site", e.Message}
	case Answer:
		parts = []any{"answer", e.Req, e.Status, e.Body, e.RetryAfter}
	case StoreTxn:
		parts = []any{"transaction", e.ID, e.Txn, e.Urgent, e.FailFast}
	case StoreGet:
		parts = []any{"get", e.ID, e.Key, e.FailFast}
	case StoreReload:
		parts = []any{"reload"}
	case SendPeer:
		parts = []any{"peer", e.Nodes, e.Message}
	case Deliver:
		parts = []any{"deliver", e.Machine, e.Address, e.CommandBatch}
	case FetchCatalog:
		parts = []any{"catalogue"}
	case FetchInventory:
		parts = []any{"list"}
	case RequestRental:
		parts = []any{"rent", e.Rental}
	case ReleaseMachines:
		parts = []any{"release", e.Machines}
	default:
		panic(fmt.Sprintf("effect type %T is not supported by the digest", e))
	}
	raw, err := json.Marshal(parts)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(r.sum, "%d %s %s\n", now, node, raw)
}

// finish adds the scenario's hash to scenarioDigests.
func (r *effectRecorder) finish() {
	scenarioDigests.Lock()
	defer scenarioDigests.Unlock()
	scenarioDigests.sums = append(scenarioDigests.sums, fmt.Sprintf("%x", r.sum.Sum(nil)))
}

// printEffectsDigest prints the number of scenarios and the combined hash of all of them.
func printEffectsDigest() {
	if !*effectsDigest {
		return
	}
	scenarioDigests.Lock()
	defer scenarioDigests.Unlock()
	slices.Sort(scenarioDigests.sums)
	all := sha256.Sum256([]byte(strings.Join(scenarioDigests.sums, "\n")))
	fmt.Fprintf(os.Stdout, "effects digest: %d days %x\n", len(scenarioDigests.sums), all[:16])
}
