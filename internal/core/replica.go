package core

import (
	"strings"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// replica tells how far this node's copy of the stored state is, and holds what of it has no
// other place.
type replica struct {
	// loaded is set once the stored state was read.
	loaded bool
	// reloading is set while the copy lacks the jobs of a leadership that was lost, until the
	// stored state is read again.
	reloading bool
	// revision is the newest one that the copy shows.
	revision uint64
	// pendingChunks holds chunks of jobs whose head is not known yet.
	pendingChunks map[string]map[job.ChunkKey]protocol.KeyValue
	// cancelRequests holds the users' cancellations of jobs that are not final, with the time of
	// day of each in milliseconds.
	cancelRequests map[string]int64
}

func newReplica() replica {
	return replica{
		pendingChunks:  map[string]map[job.ChunkKey]protocol.KeyValue{},
		cancelRequests: map[string]int64{},
	}
}

// shows tells whether the copy shows a revision.
func (r *replica) shows(revision uint64) bool { return revision <= r.revision }

// advance notes that the copy shows everything up to a revision.
func (r *replica) advance(revision uint64) { r.revision = max(r.revision, revision) }

// keepChunk keeps a chunk until its job's head is known.
func (r *replica) keepChunk(id string, chunk job.ChunkKey, item protocol.KeyValue) {
	if r.pendingChunks[id] == nil {
		r.pendingChunks[id] = map[job.ChunkKey]protocol.KeyValue{}
	}
	r.pendingChunks[id][chunk] = item
}

// loadPendingChunks hands a job the chunks that came before its head.
func (r *replica) loadPendingChunks(j *job.Job) error {
	for key, item := range r.pendingChunks[j.ID] {
		if err := j.LoadChunk(key, item.Value); err != nil {
			return err
		}
	}
	delete(r.pendingChunks, j.ID)
	return nil
}

// applySnapshot replaces the replica by the stored state. Jobs of teams that this node leads
// stay as they are: only it writes them.
func (c *Core) applySnapshot(m SnapshotLoaded) {
	stored := make(map[string]bool, len(m.Items))
	for _, item := range m.Items {
		stored[item.Key] = true
	}
	for key := range c.knownKeys() {
		if !stored[key] {
			c.onDelete(key, m.Revision)
		}
	}
	for _, item := range m.Items {
		c.onPut(item)
	}
	c.replica.advance(m.Revision)
	c.replica.reloading = false
	c.stats.Retain(func(id string) bool { return c.jobs[id] != nil })
	c.freshness.replicaAdvanced(c.replica.revision)
	if !c.replica.loaded {
		c.freshness.checkLease()
	}
	c.replica.loaded = true
	c.log(Info, "state loaded", "keys", len(m.Items), "revision", m.Revision)
	c.register()
}

// applyEvents applies the changes of the watch, in their order.
func (c *Core) applyEvents(m StoreChanged) {
	for _, e := range m.Events {
		if e.Delete != "" {
			c.onJobDelete(e.Delete, e.Version)
			c.onDelete(e.Delete, e.Version)
		} else {
			c.onPut(protocol.KeyValue{Key: e.Put, Value: e.Value, Version: e.Version})
		}
	}
	c.replica.advance(m.Revision)
	c.freshness.replicaAdvanced(c.replica.revision)
}

// knownKeys lists the keys that the replica stands for.
func (c *Core) knownKeys() map[string]bool {
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
		known[keyIntent+name] = true
	}
	for key := range c.handoffs.keys() {
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
	case strings.HasPrefix(key, keyNode):
		err = c.onNodePut(item)
	case strings.HasPrefix(key, keyCordon):
		cordon := cordonRecord{version: item.Version}
		if err = json.Unmarshal(item.Value, &cordon); err == nil {
			c.onCordonPut(strings.TrimPrefix(key, keyCordon), cordon)
		}
	case strings.HasPrefix(key, keyIntent):
		intent := &rentalIntent{}
		if err = json.Unmarshal(item.Value, intent); err == nil {
			c.intents.put(strings.TrimPrefix(key, keyIntent), intent, item.Version, c.fleet.leading)
		}
	case strings.HasPrefix(key, keyVersion):
		err = c.upgrade.onVersionPut(item)
	case strings.HasPrefix(key, keyRecord):
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
	case strings.HasPrefix(key, keyNode):
		c.onNodeDelete(key)
	case strings.HasPrefix(key, keyCordon):
		delete(c.cordons, strings.TrimPrefix(key, keyCordon))
	case strings.HasPrefix(key, keyIntent):
		delete(c.intents, strings.TrimPrefix(key, keyIntent))
	}
}
