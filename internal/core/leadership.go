package core

import (
	"github.com/segmentio/encoding/json"

	"pepperlever/internal/protocol"
)

// leaseGranted starts over under a fresh lease.
func (c *Core) leaseGranted(lease uint64) {
	c.lease = lease
	c.register()
}

// leaseExpired gives up every home: others may hold them by now.
func (c *Core) leaseExpired() {
	c.lease = 0
	for _, t := range c.allTeams() {
		if t.leading {
			c.lostLeadership(t)
		}
	}
}

// registered tells whether the store shows this run's own key under its lease.
func (c *Core) registered() bool {
	me, there := c.nodes[c.cfg.Node]
	return there && me.Incarnation == c.incarnation && me.Lease == c.lease
}

// register writes this node's own key while it has a lease and the stored state, and the
// store does not show it, on the condition that it is as the replica has it: a former run
// may have written it under a lease that lives, and late.
func (c *Core) register() {
	if !c.loaded || c.lease == 0 || c.registered() || c.registering || c.revision < c.registeredAt {
		return
	}
	c.registering = true
	key := keyNode + c.cfg.Node
	own := protocol.Change{Put: key, Value: mustMarshal(nodeRecord{Incarnation: c.incarnation, Lease: c.lease, Federation: c.federation != nil}), Lease: c.lease}
	c.compareAndSwap(protocol.Txn{
		If:   []protocol.Condition{{Key: key, Version: c.nodes[c.cfg.Node].version}},
		Then: []protocol.Change{own},
	}, true, func(r StoreReply) {
		c.registering = false // electLeaders tries again, unless the watch shows it
		if r.Outcome == Applied {
			c.registeredAt = r.Revision
		}
	})
	if c.tokenLease != c.lease {
		c.tokenLease = c.lease
		c.acquireToken()
	}
}

// electLeaders takes teams that have no home, or whose home is an earlier run of
// this node, and hands surplus teams to nodes that have too few.
func (c *Core) electLeaders() {
	c.register()
	if c.lease == 0 || !c.registered() || c.hidesOutgoing() {
		return
	}
	c.stateVersion()
	for i, t := range c.allTeams() {
		preferred := c.preferredLeader(i)
		home, homeLives := c.nodes[t.leader]
		orphan := t.version == 0 || !homeLives || home.Incarnation != t.leaderIncarnation
		reached := c.peers[preferred] != nil && c.peers[preferred].connected
		switch {
		case t.electing:
		case orphan && (preferred == c.cfg.Node || t.leader == c.cfg.Node):
			c.assignLeader(t, c.cfg.Node)
		case t.leading && preferred != c.cfg.Node && reached:
			c.assignLeader(t, preferred)
		}
	}
}

// preferredLeader is the controller that should be the home of team i: the same one
// for as long as it lives, so that an end elsewhere moves only the teams of
// that node. One that does not keep away from jobs that are away is left out.
func (c *Core) preferredLeader(i int) string {
	for n := range c.roster {
		node := c.roster[(i+n)%len(c.roster)]
		if n, live := c.nodes[node]; live && (n.Federation || len(c.handoffs.versions) == 0) {
			return node
		}
	}
	return c.cfg.Node
}

// assignLeader writes a team's home, on the condition that nobody else has.
func (c *Core) assignLeader(t *team, node string) {
	n := c.nodes[node]
	t.electing = true
	c.compareAndSwap(protocol.Txn{
		If: []protocol.Condition{t.leaderCondition()},
		Then: []protocol.Change{{
			Put: t.key, Value: mustMarshal(leaderRecord{Node: node, Incarnation: n.Incarnation}), Lease: n.Lease,
		}},
	}, true, func(r StoreReply) {
		// The watch tells what came of it.
		t.electing = false
	})
}

// onLeaderPut notes a team's new home. Events arrive in order, so all that an
// earlier home has stored is in the replica by now.
func (c *Core) onLeaderPut(item protocol.KeyValue) error {
	var h leaderRecord
	if err := json.Unmarshal(item.Value, &h); err != nil {
		return err
	}
	for _, t := range c.allTeams() {
		if t.key != item.Key || t.version >= item.Version {
			continue
		}
		if t.leading {
			c.lostLeadership(t)
		}
		t.leader, t.leaderIncarnation, t.version = h.Node, h.Incarnation, item.Version
		if h.Node == c.cfg.Node && h.Incarnation == c.incarnation {
			c.becameLeader(t)
		}
	}
	return nil
}

func (c *Core) becameLeader(t *team) {
	t.leading = true
	c.log(Info, "home taken", "team", t.Name, "jobs", len(t.jobs))
	for _, j := range ordered(t.jobs) {
		j.InFlight = false
		j.DropClaims()
		for _, b := range j.Bound {
			// An earlier home may or may not have sent the start, so it is
			// never sent again: only evidence settles it.
			b.Since, b.Sent, b.Stored = c.now.Steady, true, true
		}
		if j.Complete() || j.Cancelled {
			j.Touch(0)
		}
	}
	if t == c.fleet {
		c.autoscaler.reset(c.now.Steady)
	}
	if c.federation != nil && t == c.federation.team {
		c.federation.open(c)
	}
	c.requestRound()
}

// lostLeadership ends this node's part as home. What it had not stored is void, so
// the jobs are read again.
func (c *Core) lostLeadership(t *team) {
	was := t.leading
	t.leading, t.leader, t.leaderIncarnation, t.version = false, "", "", 0
	if c.federation != nil && t == c.federation.team {
		c.federation.machine = nil
	}
	if !was {
		return
	}
	c.log(Info, "home lost", "team", t.Name)
	for _, j := range t.jobs {
		c.forgetJob(j)
	}
	c.dependencies.reloading = true
	c.emit(StoreReload{})
}
