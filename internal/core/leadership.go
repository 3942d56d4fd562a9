package core

import (
	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// shard is a part of the work that has one leader at a time: a team, the fleet of machines, or
// the federation with other sites.
type shard struct {
	name string
	// key is the store key that names the leader.
	key string
	// version is the revision of the key, 0 while the shard has no leader.
	version           uint64
	leader            string
	leaderIncarnation string
	// leading is set while this run of this node is the leader.
	leading bool
	// electing is set while a write of the leader is not answered.
	electing bool
}

// leaderCondition is the condition that the shard's leader is the one that this node knows of.
func (s *shard) leaderCondition() protocol.Condition {
	return protocol.Condition{Key: s.key, Version: s.version}
}

// hasLeader tells whether the shard's leader is live.
func (s *shard) hasLeader(members *membership) bool {
	leader := leaderRecord{Node: s.leader, Incarnation: s.leaderIncarnation}
	return s.version > 0 && members.isCurrent(leader)
}

// allShards lists the shards in the order by which leaders are assigned to them.
func (c *Core) allShards() []*shard {
	var all []*shard
	for _, t := range c.teams {
		all = append(all, &t.shard)
	}
	all = append(all, c.fleet)
	if c.federation != nil {
		all = append(all, c.federation.shard)
	}
	return all
}

// electLeaders takes the lead of shards that have no leader, or that an earlier run of this node
// led, and hands surplus ones to the controllers that should lead them.
func (c *Core) electLeaders() {
	c.register()
	members := &c.members
	if members.lease == 0 || !members.registered() || c.ignoresHandoffs() {
		return
	}
	c.upgrade.stateVersion()
	for i, s := range c.allShards() {
		preferred := members.preferredLeader(i, c.handoffs.anyStored())
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

// assignLeader writes a shard's leader, on the condition that nobody else has. The watch tells
// what came of it.
func (c *Core) assignLeader(s *shard, name string) {
	node := c.members.live[name]
	leader := leaderRecord{Node: name, Incarnation: node.Incarnation}
	s.electing = true
	c.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{s.leaderCondition()},
		Then: []protocol.Change{{Put: s.key, Value: mustjson.Marshal(leader), Lease: node.Lease}},
	}, true, func(StoreReply) { s.electing = false })
}

// onLeaderPut notes a shard's new leader. Events arrive in order, so all that an earlier leader
// has stored is in the replica by now.
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
		c.voidClaims(s)
		s.leader, s.leaderIncarnation, s.version = leader.Node, leader.Incarnation, item.Version
		if c.members.isSelf(leader) {
			c.becameLeader(s)
		}
	}
	return nil
}

// onLeaderDelete notes that a shard has no leader.
func (c *Core) onLeaderDelete(key string, revision uint64) {
	for _, s := range c.allShards() {
		if s.key == key && s.version < revision {
			c.lostLeadership(s)
			c.voidClaims(s)
		}
	}
}

// jobsOf lists the jobs of a shard, which are none unless it is a team.
func (c *Core) jobsOf(s *shard) map[string]*job.Job {
	if t := c.teamBy[s.name]; t != nil && s == &t.shard {
		return t.jobs
	}
	return nil
}

// becameLeader begins this node's work as the leader of a shard.
func (c *Core) becameLeader(s *shard) {
	s.leading = true
	jobs := c.jobsOf(s)
	c.log(Info, "leadership acquired", "shard", s.name, "jobs", len(jobs))
	c.recoverJobs(jobs)
	if s == c.fleet {
		c.autoscaler.reset(c.now.Steady)
	}
	if c.federation.owns(s) {
		c.federation.start(c.members.incarnation, c.handoffs.Records)
	}
	c.requestRound()
}

// recoverJobs begins to lead jobs. The leader before may or may not have sent the start of a
// binding, so none is sent again: only evidence tells what became of it.
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

// lostLeadership ends this node's work as the leader of a shard. What it had not stored is void,
// so the jobs are read again.
func (c *Core) lostLeadership(s *shard) {
	led := s.leading
	s.leading, s.leader, s.leaderIncarnation, s.version = false, "", "", 0
	if c.federation.owns(s) {
		c.federation.stop()
	}
	if !led {
		return
	}
	c.log(Info, "leadership lost", "shard", s.name)
	for _, j := range c.jobsOf(s) {
		c.forgetJob(j)
	}
	c.replica.reloading = true
	c.emit(StoreReload{})
}
