package core

import (
	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// shard is a unit of work that has one leader at a time: a team, the fleet of machines, or the
// federation with other sites.
type shard struct {
	name string
	// key is the store key of the leader's record.
	key string
	// version is the store revision of key, or 0 while the shard has no leader.
	version           uint64
	leader            string
	leaderIncarnation string
	// leading is set while this incarnation of this node is the leader.
	leading bool
	// electing is set while a write of the leader's record has no reply yet.
	electing bool
}

// leaderCondition returns the condition that the stored leader is the one that this node knows.
func (s *shard) leaderCondition() protocol.Condition {
	return protocol.Condition{Key: s.key, Version: s.version}
}

// hasLeader reports whether the shard has a leader whose incarnation is registered.
func (s *shard) hasLeader(members *membership) bool {
	leader := leaderRecord{Node: s.leader, Incarnation: s.leaderIncarnation}
	return s.version > 0 && members.isCurrent(leader)
}

// allShards returns all shards. A shard's position in the list determines its preferred leader.
func (c *Core) allShards() []*shard {
	var shards []*shard
	for _, t := range c.teams {
		shards = append(shards, &t.shard)
	}
	shards = append(shards, c.fleet)
	if c.federation != nil {
		shards = append(shards, c.federation.shard)
	}
	return shards
}

// electLeaders registers this node if necessary. It then claims shards without a live leader if this
// node is their preferred leader or an earlier incarnation of it led them, and transfers the shards
// that this node leads to their preferred leaders, if those are connected.
func (c *Core) electLeaders() {
	c.register()
	members := &c.members
	if members.lease == 0 || !members.registered() || c.mustNotLead() {
		return
	}
	c.upgrade.recordVersion()
	for i, s := range c.allShards() {
		preferred := members.preferredLeader(i, c.handoffs.hasRecords())
		prefersSelf := preferred == members.self
		connected := c.peers.isConnected(preferred)
		switch {
		case s.electing:
		case !s.hasLeader(members) && (prefersSelf || s.leader == members.self):
			c.assignLeader(s, members.self)
		case s.leading && !prefersSelf && connected:
			c.assignLeader(s, preferred)
		}
	}
}

// assignLeader writes a shard's leader, provided that nobody else has changed it. The outcome
// arrives through the watch.
func (c *Core) assignLeader(s *shard, name string) {
	node := c.members.live[name]
	leader := leaderRecord{Node: name, Incarnation: node.Incarnation}
	s.electing = true
	c.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{s.leaderCondition()},
		Then: []protocol.Change{{Put: s.key, Value: mustjson.Marshal(leader), Lease: node.Lease}},
	}, true, func(StoreReply) { s.electing = false })
}

// onLeaderPut records a shard's new leader. Events arrive in order, so the replica already
// holds everything that an earlier leader has stored, unless jobs are missing until the stored state has
// been read again. That shows a record that names this node once more, together with the jobs.
func (c *Core) onLeaderPut(item protocol.KeyValue) error {
	var leader leaderRecord
	if err := json.Unmarshal(item.Value, &leader); err != nil {
		return err
	}
	for _, s := range c.allShards() {
		if s.key != item.Key || s.version >= item.Version {
			continue
		}
		if s.leading {
			c.lostLeadership(s)
		}
		if c.replica.reloading && c.members.isSelf(leader) {
			continue
		}
		c.dropClaimsOfFormerLeader(s)
		s.leader, s.leaderIncarnation, s.version = leader.Node, leader.Incarnation, item.Version
		if c.members.isSelf(leader) {
			c.becameLeader(s)
		}
	}
	return nil
}

// onLeaderDelete records that a shard has no leader.
func (c *Core) onLeaderDelete(key string, revision uint64) {
	for _, s := range c.allShards() {
		if s.key == key && s.version < revision {
			c.lostLeadership(s)
			c.dropClaimsOfFormerLeader(s)
		}
	}
}

// shardJobs returns the jobs of a team's shard, or nil for other shards.
func (c *Core) shardJobs(s *shard) map[string]*job.Job {
	if t := c.teamsByName[s.name]; t != nil && s == &t.shard {
		return t.jobs
	}
	return nil
}

// becameLeader starts this node's work as the leader of a shard.
func (c *Core) becameLeader(s *shard) {
	s.leading = true
	jobs := c.shardJobs(s)
	c.log(Info, "leadership acquired", "shard", s.name, "jobs", len(jobs))
	c.recoverJobs(jobs)
	if s == c.fleet {
		c.autoscaler.reset(c.now.Steady)
	}
	if c.federation.owns(s) {
		c.federation.startCoordinator(c.members.incarnation, c.handoffs.Records)
	}
	c.requestRound()
}

// recoverJobs takes over the jobs of a previous leader. Bindings that it has not stored are dropped.
// It may or may not have sent the start commands for the stored ones, so all of them count as sent
// and none is repeated: only evidence from the machines shows whether the tasks were started. Jobs
// that are complete or cancelled are marked to be written.
func (c *Core) recoverJobs(jobs map[string]*job.Job) {
	for _, j := range ordered(jobs) {
		j.InFlight = false
		j.DropUnstored()
		for _, b := range j.Bound {
			b.Since, b.Sent, b.Stored = c.now.Steady, true, true
		}
		if j.Complete() || j.Cancelled {
			j.MarkDirty(0)
		}
	}
}

// lostLeadership records that a shard has no known leader. If this node was the leader, the stored state
// is reloaded, since the shard's jobs have been dropped.
func (c *Core) lostLeadership(s *shard) {
	if c.dropLeadership(s) {
		c.replica.reloading = true
		c.emit(StoreReload{})
	}
}

// dropLeadership records that a shard has no known leader, and reports whether this node was the leader.
// In that case its unstored changes are discarded together with the shard's jobs.
func (c *Core) dropLeadership(s *shard) (wasLeading bool) {
	wasLeading = s.leading
	s.leading, s.leader, s.leaderIncarnation, s.version = false, "", "", 0
	if c.federation.owns(s) {
		c.federation.stopCoordinator()
	}
	if !wasLeading {
		return false
	}
	c.log(Info, "leadership lost", "shard", s.name)
	if s == c.fleet {
		c.autoscaler.forgetReturns()
	}
	for _, j := range c.shardJobs(s) {
		c.forgetJob(j)
	}
	return true
}

// dropSupersededLeadership drops the leadership of the shards that have another leader record in a
// snapshot than this node knows. The snapshot then replaces the jobs of these shards, too.
func (c *Core) dropSupersededLeadership(snapshot SnapshotLoaded) {
	stored := map[string]uint64{}
	for _, item := range snapshot.Items {
		if isLeaderKey(item.Key) {
			stored[item.Key] = item.Version
		}
	}
	for _, s := range c.allShards() {
		if s.leading && stored[s.key] != s.version {
			c.dropLeadership(s)
		}
	}
}
