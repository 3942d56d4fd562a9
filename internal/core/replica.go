package core

import (
	"strings"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// load replaces the replica by the stored state. Jobs of teams that this node
// is home of stay as they are: only it writes them.
func (c *Core) load(m Loaded) {
	seen := make(map[string]bool, len(m.Items))
	for _, item := range m.Items {
		seen[item.Key] = true
	}
	for key := range c.knownKeys() {
		if !seen[key] {
			c.dropped(key, m.Revision)
		}
	}
	for _, item := range m.Items {
		c.written(item)
	}
	c.revision = max(c.revision, m.Revision)
	c.awaits.reloading = false
	c.caughtUp()
	if !c.loaded {
		c.checkLease()
	}
	c.loaded = true
	c.log(Info, "state loaded", "keys", len(m.Items), "revision", m.Revision)
	c.enroll()
}

// knownKeys lists the keys that the replica stands for.
func (c *Core) knownKeys() map[string]bool {
	out := map[string]bool{}
	for node := range c.nodes {
		out[keyNode+node] = true
	}
	for _, t := range c.allTeams() {
		if t.version > 0 {
			out[t.key] = true
		}
	}
	for id, j := range c.jobs {
		if !j.InFlight {
			out[activeKey(id)] = true
		}
	}
	for machine := range c.marks {
		out[keyMark+machine] = true
	}
	for id := range c.withdrawn {
		out[cancelKey(id)] = true
	}
	for name := range c.intents {
		out[keyIntent+name] = true
	}
	for key := range c.sites.versions {
		out[key] = true
	}
	for _, page := range c.partition.board.Pages() {
		out[pageKey(c.cfg.Node, page)] = true
	}
	for node, r := range c.partition.read {
		for page := range r.pages {
			out[pageKey(node, page)] = true
		}
	}
	return out
}

func (c *Core) allTeams() []*team {
	all := append(c.teams[:len(c.teams):len(c.teams)], c.fleet)
	if c.gate != nil {
		all = append(all, c.gate.team)
	}
	return all
}

func (c *Core) watched(m Watched) {
	for _, e := range m.Events {
		if e.Delete != "" {
			c.headDropped(e.Delete, e.Version)
			c.dropped(e.Delete, e.Version)
		} else {
			c.written(protocol.KeyValue{Key: e.Put, Value: e.Value, Version: e.Version})
		}
	}
	c.revision = max(c.revision, m.Revision)
	c.caughtUp()
}

// written applies a stored value to the replica.
func (c *Core) written(item protocol.KeyValue) {
	var err error
	switch key := item.Key; {
	case strings.HasPrefix(key, keyActive):
		err = c.jobWritten(item)
	case strings.HasPrefix(key, keyCancel):
		err = c.cancelWritten(item)
	case key == keyFleet, key == keyGate, strings.HasPrefix(key, keyHome):
		err = c.homeWritten(item)
	case strings.HasPrefix(key, keyBoard):
		err = c.pageWritten(item)
	case strings.HasPrefix(key, keyGate):
		err = c.siteWritten(item)
	case strings.HasPrefix(key, keyNode):
		n := nodeKey{version: item.Version}
		if err = json.Unmarshal(item.Value, &n); err == nil {
			c.nodes[strings.TrimPrefix(key, keyNode)] = n
			c.timers.homes = 0 // teams may be waiting for it
		}
	case strings.HasPrefix(key, keyMark):
		m := mark{version: item.Version}
		if err = json.Unmarshal(item.Value, &m); err == nil {
			c.marked(strings.TrimPrefix(key, keyMark), m)
		}
	case strings.HasPrefix(key, keyIntent):
		i := &intent{}
		if err = json.Unmarshal(item.Value, i); err == nil {
			c.intentWritten(strings.TrimPrefix(key, keyIntent), i, item.Version)
		}
	case strings.HasPrefix(key, keyVersion):
		err = c.versionWritten(item)
	case strings.HasPrefix(key, keyRecord):
		var r recordKey
		var name string
		if name, err = teamOf(strings.TrimPrefix(key, keyRecord)); err == nil {
			err = json.Unmarshal(item.Value, &r)
		}
		if t := c.teamBy[name]; err == nil && t != nil && !t.acting {
			t.record, t.ranked = r.Record, r.Record
		}
	}
	if err != nil {
		c.log(Error, "stored value is not understood", "key", item.Key, "error", err.Error())
	}
}

// dropped applies a deletion to the replica.
func (c *Core) dropped(key string, revision uint64) {
	switch {
	case strings.HasPrefix(key, keyActive):
		id, chunk, ok := splitActive(key)
		if j := c.jobs[id]; ok && chunk == firstChunk && j != nil && j.Version < revision && (!c.mine(j) || c.away(id)) {
			c.forgetJob(j)
		}
	case strings.HasPrefix(key, keyCancel):
		delete(c.withdrawn, strings.TrimPrefix(key, keyCancel))
	case strings.HasPrefix(key, keyGate) && key != keyGate:
		c.siteDropped(key, revision)
	case key == keyFleet, key == keyGate, strings.HasPrefix(key, keyHome):
		for _, t := range c.allTeams() {
			if t.key == key && t.version < revision {
				c.homeLost(t)
			}
		}
	case strings.HasPrefix(key, keyNode):
		c.log(Info, "controller is gone", "node", strings.TrimPrefix(key, keyNode))
		delete(c.nodes, strings.TrimPrefix(key, keyNode))
		c.timers.homes = 0
	case strings.HasPrefix(key, keyBoard):
		c.pageDropped(key, revision)
	case strings.HasPrefix(key, keyMark):
		delete(c.marks, strings.TrimPrefix(key, keyMark))
	case strings.HasPrefix(key, keyIntent):
		delete(c.intents, strings.TrimPrefix(key, keyIntent))
	}
}

// mine tells whether this node is the home of the job's team.
func (c *Core) mine(j *job.Job) bool {
	t := c.teamBy[j.Team]
	return t != nil && t.acting
}

// jobWritten takes over what another controller, or an earlier home, stored of
// a job.
func (c *Core) jobWritten(item protocol.KeyValue) error {
	id, chunk, ok := splitActive(item.Key)
	if !ok {
		return nil
	}
	j := c.jobs[id]
	if chunk != firstChunk {
		return c.chunkWritten(j, id, chunk, item)
	}
	if j != nil && (c.mine(j) || j.Version >= item.Version) {
		return nil
	}
	if c.goneAt[id] > item.Version {
		return nil // an old event, or an acceptance told late, of a job that has ended since
	}
	if j == nil {
		j = job.New(job.Spec{ID: id}, c.chunkSize(), c.now.Steady)
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
		for n, o := range c.orphans[id] {
			if err := j.LoadChunk(n, o.Value); err != nil {
				return err
			}
		}
		delete(c.orphans, id)
	}
	c.follow(j)
	c.sched.dirty = true
	return nil
}

func (c *Core) chunkWritten(j *job.Job, id string, chunk job.ChunkKey, item protocol.KeyValue) error {
	switch {
	case j == nil:
		// Pages and events come ordered by key or revision; keep the chunk
		// until its head is here.
		if c.orphans[id] == nil {
			c.orphans[id] = map[job.ChunkKey]protocol.KeyValue{}
		}
		c.orphans[id][chunk] = item
		return nil
	case c.mine(j):
		return nil
	}
	return j.LoadChunk(chunk, item.Value)
}

func (c *Core) addJob(t *team, j *job.Job) {
	c.jobs[j.ID] = j
	t.jobs[j.ID] = j
	c.tally.Accept(j.ID, j.Class, j.Team, j.Tasks, c.now.Steady)
	c.ledger.Add(j)
	c.sched.dirty = true
}

func (c *Core) forgetJob(j *job.Job) {
	delete(c.jobs, j.ID)
	c.ledger.Remove(j)
	c.awaits.graph.Forget(j.ID)
	if t := c.teamBy[j.Team]; t != nil {
		delete(t.jobs, j.ID)
	}
	c.sched.dirty = true
}

// headDropped notes the end of a job that the watch tells of: its head goes when
// it is done, or when nothing is left of a cancelled one. Events come in order,
// so a cancellation is known by then.
func (c *Core) headDropped(key string, revision uint64) {
	if !strings.HasPrefix(key, keyActive) {
		return
	}
	id, chunk, ok := splitActive(key)
	if !ok || chunk != firstChunk {
		return
	}
	if j := c.jobs[id]; j != nil && !j.Cancelled && j.Version < revision {
		if j.Awaiting { // never bound, so not done: its home knew of a cancellation before this node
			c.remember(id, protocol.JobState{ID: id, State: protocol.Cancelled})
		} else {
			c.remember(id, protocol.JobState{ID: id, State: protocol.Done, Done: j.Tasks})
		}
	}
	c.gone(id, revision)
}

// gone notes the revision that ended a job, against late news of its life.
func (c *Core) gone(id string, revision uint64) {
	if len(c.goneAt) >= finalsKept {
		clear(c.goneAt)
	}
	c.goneAt[id] = revision
	delete(c.broadcasts, id)
}

// remember caches a final state, which never changes.
func (c *Core) remember(id string, s protocol.JobState) {
	if _, known := c.finals[id]; known {
		return
	}
	c.tally.End(id, s.State == protocol.Cancelled)
	if len(c.finals) >= finalsKept {
		clear(c.finals)
	}
	c.finals[id] = s
	c.upstreamEnded(id, s.State)
}
