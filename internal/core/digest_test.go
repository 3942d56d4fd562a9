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

// effectsDigest makes a run of the random days print one hash over everything that
// left the controllers. Two versions of the program that print the same hash for the
// same -rapid.seed and -rapid.checks behave alike on those days:
//
//	go test ./internal/core -run TestRulesHoldWhicheverTroublesMeet -rapid.seed=7 -rapid.checks=2 -effects-digest
var effectsDigest = flag.Bool("effects-digest", false, "print a digest of the effects of all random days")

// dayDigests collects one hash for each day. Days run in parallel, so their hashes are
// sorted before they are combined.
var dayDigests struct {
	sync.Mutex
	sums []string
}

// effectRecorder hashes the effects of one day in the order in which they leave.
type effectRecorder struct{ sum hash.Hash }

func newEffectRecorder() *effectRecorder { return &effectRecorder{sum: sha256.New()} }

// record adds an effect, without log lines and without names of Go types or fields of
// effects, which may be renamed.
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
		parts = []any{"transaction", e.ID, e.Txn, e.Urgent, e.Quick}
	case StoreGet:
		parts = []any{"get", e.ID, e.Key, e.Quick}
	case StoreReload:
		parts = []any{"reload"}
	case SendPeer:
		parts = []any{"peer", e.Nodes, e.Message}
	case Deliver:
		parts = []any{"deliver", e.Machine, e.Address, e.Orders}
	case FetchCatalog:
		parts = []any{"catalogue"}
	case FetchInventory:
		parts = []any{"list"}
	case RequestRental:
		parts = []any{"rent", e.Rental}
	case ReleaseMachines:
		parts = []any{"release", e.Machines}
	default:
		panic(fmt.Sprintf("effect %T has no form in the digest", e))
	}
	raw, err := json.Marshal(parts)
	if err != nil {
		panic(err)
	}
	fmt.Fprintf(r.sum, "%d %s %s\n", now, node, raw)
}

// finish adds the day's hash to those of the run.
func (r *effectRecorder) finish() {
	dayDigests.Lock()
	defer dayDigests.Unlock()
	dayDigests.sums = append(dayDigests.sums, fmt.Sprintf("%x", r.sum.Sum(nil)))
}

// printEffectsDigest prints the number of days and the hash over all of them.
func printEffectsDigest() {
	if !*effectsDigest {
		return
	}
	dayDigests.Lock()
	defer dayDigests.Unlock()
	slices.Sort(dayDigests.sums)
	all := sha256.Sum256([]byte(strings.Join(dayDigests.sums, "\n")))
	fmt.Fprintf(os.Stdout, "effects digest: %d days %x\n", len(dayDigests.sums), all[:16])
}
