package core

import (
	"strings"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// replica tracks how current this node's copy of the stored state is, and holds the parts of the
// copy that no other component owns.
type replica struct {
	// loaded is set once the stored state has been read for the first time.
	loaded bool
	// reloading is set from a loss of leadership, which drops the jobs of the shard, until the
	// stored state has been read again. This node becomes no leader meanwhile.
	reloading bool
	// revision is the newest store revision that the copy reflects.
	revision uint64
	// pendingChunks buffers the chunks, by job ID, of jobs whose head has not arrived yet.
	pendingChunks map[string]map[job.ChunkKey]protocol.KeyValue
	// cancelRequests maps jobs with a stored cancellation by their user to the wall-clock time of the
	// request in milliseconds. The cancellation is deleted together with the head of the job.
	cancelRequests map[string]int64
}

func newReplica() replica {
	return replica{
		pendingChunks:  map[string]map[job.ChunkKey]protocol.KeyValue{},
		cancelRequests: map[string]int64{},
	}
}

// reflects reports whether the copy reflects a revision.
func (r *replica) reflects(revision uint64) bool { return revision <= r.revision }

// advance records that the copy reflects everything up to a revision.
func (r *replica) advance(revision uint64) { r.revision = max(r.revision, revision) }

// bufferChunk buffers a chunk until the head of its job arrives.
func (r *replica) bufferChunk(id string, chunk job.ChunkKey, item protocol.KeyValue) {
	if r.pendingChunks[id] == nil {
		r.pendingChunks[id] = map[job.ChunkKey]protocol.KeyValue{}
	}
	r.pendingChunks[id][chunk] = item
}

// loadPendingChunks loads the chunks that arrived before the job's head into the job.
func (r *replica) loadPendingChunks(j *job.Job) error {
	for key, item := range r.pendingChunks[j.ID] {
		if err := j.LoadChunk(key, item.Value); err != nil {
			return err
		}
	}
	delete(r.pendingChunks, j.ID)
	return nil
}

// applySnapshot replaces the replica with the stored state. Jobs of teams that this node leads
// are kept as they are, because no other controller writes them.
func (c *Core) applySnapshot(m SnapshotLoaded) {
	c.dropSupersededLeadership(m)
	stored := make(map[string]bool, len(m.Items))
	for _, item := range m.Items {
		stored[item.Key] = true
	}
	for key := range c.replicatedKeys() {
		if !stored[key] {
			c.onDelete(key, m.Revision)
		}
		c.progress.Advance()
	}
	c.replica.reloading = false
	c.applyItems(m.Items)
	c.replica.advance(m.Revision)
	c.stats.RetainActive(func(id string) bool { return c.jobs[id] != nil })
	c.freshness.replicaAdvanced(c.replica.revision)
	if !c.replica.loaded {
		c.freshness.checkCancelDeadline()
	}
	c.replica.loaded = true
	c.log(Info, "state loaded", "keys", len(m.Items), "revision", m.Revision)
	c.register()
}

// applyItems applies the items of a snapshot. Records of leaders come last, since this node may become a
// leader, and acts as one on the state that its replica shows.
func (c *Core) applyItems(items []protocol.KeyValue) {
	var leaders []protocol.KeyValue
	for _, item := range items {
		if isLeaderKey(item.Key) {
			leaders = append(leaders, item)
			continue
		}
		c.onPut(item)
		c.progress.Advance()
	}
	for _, item := range leaders {
		c.onPut(item)
	}
}

// applyEvents applies the events of the watch in order.
func (c *Core) applyEvents(m StoreChanged) {
	for _, e := range m.Events {
		if e.Delete != "" {
			c.onJobDelete(e.Delete, e.Version)
			c.onDelete(e.Delete, e.Version)
		} else {
			c.onPut(protocol.KeyValue{Key: e.Put, Value: e.Value, Version: e.Version})
		}
		c.progress.Advance()
	}
	c.replica.advance(m.Revision)
	c.freshness.replicaAdvanced(c.replica.revision)
}

// replicatedKeys returns the keys in the replica whose deletion has to be applied if a snapshot lacks
// them. Jobs with a write in flight are left out.
func (c *Core) replicatedKeys() map[string]bool {
	known := map[string]bool{}
	for node := range c.members.live {
		known[keyNode+node] = true
	}
	for _, s := range c.allShards() {
		if s.version > 0 {
			known[s.key] = true
		}
	}
	for id, j := range c.jobs {
		if !j.InFlight {
			known[jobKey(id)] = true
		}
	}
	for machine := range c.cordons {
		known[keyCordon+machine] = true
	}
	for id := range c.replica.cancelRequests {
		known[cancelKey(id)] = true
	}
	for name := range c.intents {
		known[keyRentalIntent+name] = true
	}
	for key := range c.handoffs.keys() {
		known[key] = true
	}
	for key := range c.handoffs.progress.keys() {
		known[key] = true
	}
	for _, key := range c.relay.keys(c.cfg.Node) {
		known[key] = true
	}
	return known
}

// onPut applies a stored value to the replica.
func (c *Core) onPut(item protocol.KeyValue) {
	var err error
	switch key := item.Key; {
	case strings.HasPrefix(key, keyJob):
		err = c.onJobPut(item)
	case strings.HasPrefix(key, keyCancel):
		err = c.onCancelPut(item)
	case isLeaderKey(key):
		err = c.onLeaderPut(item)
	case strings.HasPrefix(key, keyRelay):
		err = c.relay.onPagePut(item)
	case strings.HasPrefix(key, keyFederation):
		err = c.onFederationPut(item)
	case strings.HasPrefix(key, keyProgress):
		err = c.handoffs.progress.apply(strings.TrimPrefix(key, keyProgress), item)
	case strings.HasPrefix(key, keyNode):
		err = c.onNodePut(item)
	case strings.HasPrefix(key, keyCordon):
		cordon := cordonRecord{version: item.Version}
		if err = json.Unmarshal(item.Value, &cordon); err == nil {
			c.onCordonPut(strings.TrimPrefix(key, keyCordon), cordon)
		}
	case strings.HasPrefix(key, keyRentalIntent):
		intent := &rentalIntent{}
		if err = json.Unmarshal(item.Value, intent); err == nil {
			c.intents.put(strings.TrimPrefix(key, keyRentalIntent), intent, item.Version, c.fleet.leading)
		}
	case strings.HasPrefix(key, keyVersion):
		err = c.upgrade.onVersionPut(item)
	case strings.HasPrefix(key, keyUsageRecord):
		err = c.onUsageRecordPut(item)
	}
	if err != nil {
		c.log(Error, "stored value is malformed", "key", item.Key, "error", err.Error())
	}
}

// onDelete applies a deletion to the replica.
func (c *Core) onDelete(key string, revision uint64) {
	switch {
	case strings.HasPrefix(key, keyJob):
		c.onHeadDelete(key, revision)
	case strings.HasPrefix(key, keyCancel):
		delete(c.replica.cancelRequests, strings.TrimPrefix(key, keyCancel))
	case isLeaderKey(key):
		c.onLeaderDelete(key, revision)
	case strings.HasPrefix(key, keyRelay):
		c.relay.onPageDelete(key, revision)
	case strings.HasPrefix(key, keyFederation):
		c.onFederationDelete(key, revision)
	case strings.HasPrefix(key, keyProgress):
		c.handoffs.progress.applyDeletion(strings.TrimPrefix(key, keyProgress), revision)
	case strings.HasPrefix(key, keyNode):
		c.onNodeDelete(key)
	case strings.HasPrefix(key, keyCordon):
		delete(c.cordons, strings.TrimPrefix(key, keyCordon))
	case strings.HasPrefix(key, keyRentalIntent):
		delete(c.intents, strings.TrimPrefix(key, keyRentalIntent))
	}
}
