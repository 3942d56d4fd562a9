package core

import (
	"strings"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/rollout"
	"pepperlever/internal/protocol"
)

// upgradeTracker tracks the versions that the controllers have recorded in the store, and records
// this controller's own.
type upgradeTracker struct {
	*environment
	versions *rollout.Tracker
	// storing is set while this node's own version is being written.
	storing bool
	// revisions holds the store revision of each node's version record.
	revisions map[string]uint64
}

func newUpgradeTracker(env *environment, controllers []string) *upgradeTracker {
	return &upgradeTracker{
		environment: env,
		versions:    rollout.New(controllers),
		revisions:   map[string]uint64{},
	}
}

// complete reports whether all controllers are upgraded, so that formats that only this version
// understands may be stored.
func (u *upgradeTracker) complete() bool { return u.versions.AllAtLeast(rollout.Dependencies) }

// isRecorded reports whether the store holds this version, or a later one, for a controller.
func (u *upgradeTracker) isRecorded(node string) bool {
	return u.versions.Version(node) >= rollout.Current
}

// versionTxn returns the transaction that records this version for a controller.
func (u *upgradeTracker) versionTxn(node string) protocol.Txn {
	key := keyVersion + node
	return protocol.Txn{
		If:   []protocol.Condition{{Key: key, Version: u.revisions[node]}},
		Then: []protocol.Change{putJSON(key, rollout.Record{Version: rollout.Current})},
	}
}

// recordVersion records the version of this controller in the store. The record is never withdrawn.
func (u *upgradeTracker) recordVersion() {
	if u.storing || u.isRecorded(u.cfg.Node) {
		return
	}
	u.storing = true
	u.compareAndSwap(u.versionTxn(u.cfg.Node), false, func(StoreReply) {
		u.storing = false // the watch shows the outcome
	})
}

// onVersionPut applies a controller's stored version.
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
