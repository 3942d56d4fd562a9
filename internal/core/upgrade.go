package core

import (
	"strings"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/rollout"
	"pepperlever/internal/protocol"
)

// upgrade is how far the controllers are upgraded, and whether the state service's limits
// of after the upgrade are in force.
type upgrade struct {
	versions *rollout.Tracker
	// stating is set while this node's own statement is being written, revisions are
	// those of the stored statements.
	stating   bool
	revisions map[string]uint64
	// lowRate is set once the state service has shown that it takes fewer changes.
	lowRate bool
}

// currentVersion is what this program states.
var currentVersion = rollout.Record{Version: rollout.Current}

// stateVersion writes once, for good, that this controller has this version.
func (c *Core) stateVersion() {
	if c.upgrade.stating || c.upgrade.versions.Stated(c.cfg.Node) >= rollout.Current {
		return
	}
	c.upgrade.stating = true
	key := keyVersion + c.cfg.Node
	c.compareAndSwap(protocol.Txn{If: []protocol.Condition{{Key: key, Version: c.upgrade.revisions[c.cfg.Node]}}, Then: []protocol.Change{putJSON(key, currentVersion)}},
		false, func(StoreReply) { c.upgrade.stating = false }) // the watch shows it
}

// onVersionPut takes a controller's statement.
func (c *Core) onVersionPut(item protocol.KeyValue) error {
	var r rollout.Record
	if err := json.Unmarshal(item.Value, &r); err != nil {
		return err
	}
	before, node := c.allUpgraded(), strings.TrimPrefix(item.Key, keyVersion)
	c.upgrade.versions.Note(node, r)
	c.upgrade.revisions[node] = item.Version
	if !before && c.allUpgraded() {
		c.log(Info, "all controllers are upgraded", "version", int(rollout.Current))
	}
	return nil
}

// allUpgraded tells whether what only this version understands may be stored.
func (c *Core) allUpgraded() bool { return c.upgrade.versions.All(rollout.Chains) }

// storesSmaller tells whether jobs are to be stored in chunks that fit smaller values to come.
func (c *Core) storesSmaller() bool {
	return c.allUpgraded() && c.limits().ValueKB < c.cfg.Params.State.ValueKB
}

// newJob makes a job that is about to be accepted, in the layout that all controllers read.
func (c *Core) newJob(s job.Spec) *job.Job {
	if small := c.smallChunk(s.StoredBytes()); c.storesSmaller() && small < c.chunkSize() {
		return job.NewSized(s, small, c.now.Steady)
	}
	return job.New(s, c.chunkSize(), c.now.Steady)
}

// splitChunks divides a stored job whose chunks may be too large for the limits to come,
// before it is written again.
func (c *Core) splitChunks(j *job.Job) {
	if !c.storesSmaller() {
		return
	}
	small := c.smallChunk(j.SpecBytes())
	if j.ChunkSize <= small {
		return
	}
	if j.Split(small, c.chunksPerTxn(headChanges)) {
		c.counts.Splits++
		c.log(Debug, "job is stored in smaller chunks", "job", j.ID, "tasks a chunk", j.ChunkSize)
	}
}

// storeLimitLowered takes it that the limits of after the upgrade are in force.
func (c *Core) storeLimitLowered() {
	if !c.upgrade.lowRate {
		c.upgrade.lowRate = true
		c.log(Info, "state service takes fewer changes than before", "a second", c.writeRate())
	}
}
