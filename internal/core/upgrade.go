package core

import (
	"strings"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/rollout"
	"pepperlever/internal/protocol"
)

// upgradeTracker follows which versions the controllers have stated in the store, and states
// this controller's own.
type upgradeTracker struct {
	versions *rollout.Tracker
	// storing is set while this node's own statement is being written.
	storing bool
	// revisions are those of the stored statements, by node.
	revisions map[string]uint64
}

func newUpgradeTracker(roster []string) upgradeTracker {
	return upgradeTracker{versions: rollout.New(roster), revisions: map[string]uint64{}}
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

// observe takes a stored statement and reports whether it completes the upgrade.
func (u *upgradeTracker) observe(item protocol.KeyValue) (completes bool, err error) {
	var record rollout.Record
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return false, err
	}
	before := u.complete()
	node := strings.TrimPrefix(item.Key, keyVersion)
	u.versions.Observe(node, record)
	u.revisions[node] = item.Version
	return !before && u.complete(), nil
}

// stateVersion writes once, for good, that this controller has this version.
func (c *Core) stateVersion() {
	if c.upgrade.storing || c.upgrade.stated(c.cfg.Node) {
		return
	}
	c.upgrade.storing = true
	c.compareAndSwap(c.upgrade.statement(c.cfg.Node), false, func(StoreReply) {
		c.upgrade.storing = false // the watch shows the outcome
	})
}

// onVersionPut takes a controller's statement.
func (c *Core) onVersionPut(item protocol.KeyValue) error {
	completes, err := c.upgrade.observe(item)
	if completes {
		c.log(Info, "all controllers are upgraded", "version", int(rollout.Current))
	}
	return err
}

// storesTightChunks tells whether jobs are to be stored in chunks that fit smaller values to come.
func (c *Core) storesTightChunks() bool {
	return c.upgrade.complete() && c.limits.valueShrinks()
}

// newJob makes a job that is about to be accepted, in the layout that all controllers read.
func (c *Core) newJob(spec job.Spec) *job.Job {
	size := c.limits.defaultChunkSize()
	if c.storesTightChunks() {
		tight := c.limits.tightChunkSize(spec.StoredBytes(), c.machines.LongestName())
		if tight < size {
			return job.NewWithChunkSize(spec, tight, c.now.Steady)
		}
	}
	return job.New(spec, size, c.now.Steady)
}

// splitChunks divides a stored job whose chunks may be too large for the limits to come,
// before it is written again.
func (c *Core) splitChunks(j *job.Job) {
	if !c.storesTightChunks() {
		return
	}
	size := c.limits.tightChunkSize(j.SpecBytes(), c.machines.LongestName())
	if j.ChunkSize <= size {
		return
	}
	if j.SplitChunks(size, c.limits.chunksPerTxn(headChanges)) {
		c.counts.SplitJobs++
		c.log(Debug, "job chunks split", "job", j.ID, "chunk_size", j.ChunkSize)
	}
}

// storeLimitLowered notes that the store's limits of after the upgrade are in force.
func (c *Core) storeLimitLowered() {
	if c.limits.writeRateLowered {
		return
	}
	c.limits.writeRateLowered = true
	c.log(Info, "store write rate lowered", "changes_per_second", c.limits.writeRate())
}
