package core

import (
	"strings"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// applySnapshot replaces the replica by the stored state. Jobs of teams that this node
// is home of stay as they are: only it writes them.
func (c *Core) applySnapshot(m SnapshotLoaded) {
	seen := make(map[string]bool, len(m.Items))
	for _, item := range m.Items {
		seen[item.Key] = true
	}
	for key := range c.knownKeys() {
		if !seen[key] {
			c.onDelete(key, m.Revision)
		}
	}
	for _, item := range m.Items {
		c.onPut(item)
	}
	c.revision = max(c.revision, m.Revision)
	c.dependencies.endReload()
	c.freshness.replicaAdvanced(c.revision)
	if !c.loaded {
		c.checkLease()
	}
	c.loaded = true
	c.log(Info, "state loaded", "keys", len(m.Items), "revision", m.Revision)
	c.register()
}

// knownKeys lists the keys that the replica stands for.
func (c *Core) knownKeys() map[string]bool {
	out := map[string]bool{}
	for node := range c.members.live {
		out[keyNode+node] = true
	}
	for _, t := range c.allShards() {
		if t.version > 0 {
			out[t.key] = true
		}
	}
	for id, j := range c.jobs {
		if !j.InFlight {
			out[jobKey(id)] = true
		}
	}
	for machine := range c.cordons {
		out[keyCordon+machine] = true
	}
	for id := range c.cancelRequests {
		out[cancelKey(id)] = true
	}
	for name := range c.intents {
		out[keyIntent+name] = true
	}
	for key := range c.handoffs.versions {
		out[key] = true
	}
	for _, key := range c.relay.keys(c.cfg.Node) {
		out[key] = true
	}
	return out
}

func (c *Core) applyEvents(m StoreChanged) {
	for _, e := range m.Events {
		if e.Delete != "" {
			c.onJobDelete(e.Delete, e.Version)
			c.onDelete(e.Delete, e.Version)
		} else {
			c.onPut(protocol.KeyValue{Key: e.Put, Value: e.Value, Version: e.Version})
		}
	}
	c.revision = max(c.revision, m.Revision)
	c.freshness.replicaAdvanced(c.revision)
}

// onPut applies a stored value to the replica.
func (c *Core) onPut(item protocol.KeyValue) {
	var err error
	switch key := item.Key; {
	case strings.HasPrefix(key, keyJob):
		err = c.onJobPut(item)
	case strings.HasPrefix(key, keyCancel):
		err = c.onCancelPut(item)
	case key == keyFleet, key == keyFederation, strings.HasPrefix(key, keyLeader):
		err = c.onLeaderPut(item)
	case strings.HasPrefix(key, keyRelay):
		err = c.onRelayPagePut(item)
	case strings.HasPrefix(key, keyFederation):
		err = c.onFederationPut(item)
	case strings.HasPrefix(key, keyNode):
		err = c.onNodePut(item)
	case strings.HasPrefix(key, keyCordon):
		m := cordonRecord{version: item.Version}
		if err = json.Unmarshal(item.Value, &m); err == nil {
			c.onCordonPut(strings.TrimPrefix(key, keyCordon), m)
		}
	case strings.HasPrefix(key, keyIntent):
		i := &rentalIntent{}
		if err = json.Unmarshal(item.Value, i); err == nil {
			c.onIntentPut(strings.TrimPrefix(key, keyIntent), i, item.Version)
		}
	case strings.HasPrefix(key, keyVersion):
		err = c.onVersionPut(item)
	case strings.HasPrefix(key, keyRecord):
		var r usageRecord
		var name string
		if name, err = teamOf(strings.TrimPrefix(key, keyRecord)); err == nil {
			err = json.Unmarshal(item.Value, &r)
		}
		if t := c.teamBy[name]; err == nil && t != nil && !t.leading {
			t.record, t.ranked = r.Record, r.Record
		}
	}
	if err != nil {
		c.log(Error, "stored value is not understood", "key", item.Key, "error", err.Error())
	}
}

// onDelete applies a deletion to the replica.
func (c *Core) onDelete(key string, revision uint64) {
	switch {
	case strings.HasPrefix(key, keyJob):
		id, chunk, ok := parseJobKey(key)
		if j := c.jobs[id]; ok && chunk == firstChunk && j != nil && j.Version < revision && (!c.leads(j) || c.isOutgoing(id)) {
			c.forgetJob(j)
		}
	case strings.HasPrefix(key, keyCancel):
		delete(c.cancelRequests, strings.TrimPrefix(key, keyCancel))
	case strings.HasPrefix(key, keyFederation) && key != keyFederation:
		c.onFederationDelete(key, revision)
	case key == keyFleet, key == keyFederation, strings.HasPrefix(key, keyLeader):
		c.onLeaderDelete(key, revision)
	case strings.HasPrefix(key, keyNode):
		c.onNodeDelete(key)
	case strings.HasPrefix(key, keyRelay):
		c.onRelayPageDelete(key, revision)
	case strings.HasPrefix(key, keyCordon):
		delete(c.cordons, strings.TrimPrefix(key, keyCordon))
	case strings.HasPrefix(key, keyIntent):
		delete(c.intents, strings.TrimPrefix(key, keyIntent))
	}
}

// onJobPut takes over what another controller, or an earlier home, stored of
// a job.
func (c *Core) onJobPut(item protocol.KeyValue) error {
	id, chunk, ok := parseJobKey(item.Key)
	if !ok {
		return nil
	}
	j := c.jobs[id]
	if chunk != firstChunk {
		return c.onChunkPut(j, id, chunk, item)
	}
	if j != nil && (c.leads(j) || j.Version >= item.Version) {
		return nil
	}
	if c.endRevisions[id] > item.Version {
		return nil // an old event, or an acceptance told late, of a job that has ended since
	}
	if j == nil {
		j = job.New(job.Spec{ID: id}, c.limits.defaultChunkSize(), c.now.Steady)
	}
	attempt := j.Attempt
	if err := j.LoadHead(item.Value); err != nil {
		return err
	}
	if j.Attempt > attempt {
		j.WaitingSince = c.now.Steady // it got room, as its home knows
	}
	t := c.teamBy[j.Team]
	if t == nil {
		return nil
	}
	j.Version = item.Version
	if c.jobs[id] == nil {
		c.addJob(t, j)
		if c.cancelled(id) {
			// A deposed home forgets its jobs in the middle of the news; one that was
			// cancelled before must not come back as if it were not, and be taken for
			// done at its end (docs/incidents/apart.md).
			defer c.markCancelled(j)
		}
		for n, o := range c.pendingChunks[id] {
			if err := j.LoadChunk(n, o.Value); err != nil {
				return err
			}
		}
		delete(c.pendingChunks, id)
	}
	c.trackDependencies(j)
	c.requestRound()
	return nil
}

func (c *Core) onChunkPut(j *job.Job, id string, chunk job.ChunkKey, item protocol.KeyValue) error {
	switch {
	case j == nil:
		// Pages and events come ordered by key or revision; keep the chunk
		// until its head is here.
		if c.pendingChunks[id] == nil {
			c.pendingChunks[id] = map[job.ChunkKey]protocol.KeyValue{}
		}
		c.pendingChunks[id][chunk] = item
		return nil
	case c.leads(j):
		return nil
	}
	return j.LoadChunk(chunk, item.Value)
}

func (c *Core) addJob(t *team, j *job.Job) {
	c.jobs[j.ID] = j
	t.jobs[j.ID] = j
	c.stats.Accept(j.ID, j.Class, j.Team, j.Tasks, c.now.Steady)
	c.machines.TrackBindings(j)
	c.requestRound()
}

func (c *Core) forgetJob(j *job.Job) {
	delete(c.jobs, j.ID)
	c.machines.UntrackBindings(j)
	c.dependencies.forget(j.ID)
	if t := c.teamBy[j.Team]; t != nil {
		delete(t.jobs, j.ID)
	}
	c.requestRound()
}

// onJobDelete notes the end of a job that the watch tells of: its head goes when
// it is done, or when nothing is left of a cancelled one. Events come in order,
// so a cancellation is known by then.
func (c *Core) onJobDelete(key string, revision uint64) {
	if !strings.HasPrefix(key, keyJob) {
		return
	}
	id, chunk, ok := parseJobKey(key)
	if !ok || chunk != firstChunk {
		return
	}
	if j := c.jobs[id]; j != nil && !j.Cancelled && j.Version < revision {
		if j.Awaiting { // never bound, so not done: its home knew of a cancellation before this node
			c.rememberFinalState(id, protocol.JobState{ID: id, State: protocol.Cancelled})
		} else {
			c.rememberFinalState(id, protocol.JobState{ID: id, State: protocol.Done, Done: j.Tasks})
		}
	}
	c.noteEnd(id, revision)
}

// noteEnd notes the revision that ended a job, against late news of its life.
func (c *Core) noteEnd(id string, revision uint64) {
	if len(c.endRevisions) >= maxFinalStates {
		clear(c.endRevisions)
	}
	c.endRevisions[id] = revision
	c.announcements.remove(id)
}

// rememberFinalState caches a final state, which never changes.
func (c *Core) rememberFinalState(id string, s protocol.JobState) {
	if _, known := c.finalStates[id]; known {
		return
	}
	c.stats.End(id, s.State == protocol.Cancelled)
	if len(c.finalStates) >= maxFinalStates {
		clear(c.finalStates)
	}
	c.finalStates[id] = s
	c.dependencyEnded(id, s.State)
}
