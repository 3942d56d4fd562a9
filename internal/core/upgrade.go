package core

import (
	"strings"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/rollout"
	"pepperlever/internal/protocol"
)

// upgradeTracker follows which versions the controllers have stated in the store, and states
// this controller's own.
type upgradeTracker struct {
	*environment
	versions *rollout.Tracker
	// storing is set while this node's own statement is being written.
	storing bool
	// revisions are those of the stored statements, by node.
	revisions map[string]uint64
}

func newUpgradeTracker(env *environment, roster []string) *upgradeTracker {
	return &upgradeTracker{
		environment: env,
		versions:    rollout.New(roster),
		revisions:   map[string]uint64{},
	}
}

// complete tells whether what only this version understands may be stored.
func (u *upgradeTracker) complete() bool { return u.versions.AllAtLeast(rollout.Dependencies) }

// stated tells whether the store holds a controller's statement of this version.
func (u *upgradeTracker) stated(node string) bool {
	return u.versions.Version(node) >= rollout.Current
}

// statement is the transaction that states this version for a controller, for good.
func (u *upgradeTracker) statement(node string) protocol.Txn {
	key := keyVersion + node
	return protocol.Txn{
		If:   []protocol.Condition{{Key: key, Version: u.revisions[node]}},
		Then: []protocol.Change{putJSON(key, rollout.Record{Version: rollout.Current})},
	}
}

// stateVersion writes once, for good, that this controller has this version.
func (u *upgradeTracker) stateVersion() {
	if u.storing || u.stated(u.cfg.Node) {
		return
	}
	u.storing = true
	u.compareAndSwap(u.statement(u.cfg.Node), false, func(StoreReply) {
		u.storing = false // the watch shows the outcome
	})
}

// onVersionPut takes a controller's stored statement.
func (u *upgradeTracker) onVersionPut(item protocol.KeyValue) error {
	var record rollout.Record
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return err
	}
	before := u.complete()
	node := strings.TrimPrefix(item.Key, keyVersion)
	u.versions.Observe(node, record)
	u.revisions[node] = item.Version
	if !before && u.complete() {
		u.log(Info, "all controllers are upgraded", "version", int(rollout.Current))
	}
	return nil
}
