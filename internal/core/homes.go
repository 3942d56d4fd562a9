package core

import (
	"github.com/segmentio/encoding/json"

	"pepperlever/internal/protocol"
)

// leaseUp starts over under a fresh lease.
func (c *Core) leaseUp(lease uint64) {
	c.lease = lease
	c.enroll()
}

// leaseDown gives up every home: others may hold them by now.
func (c *Core) leaseDown() {
	c.lease = 0
	for _, t := range c.allTeams() {
		if t.acting {
			c.homeLost(t)
		}
	}
}

// enrolled tells whether the store shows this run's own key under its lease.
func (c *Core) enrolled() bool {
	me, there := c.nodes[c.cfg.Node]
	return there && me.Inc == c.inc && me.Lease == c.lease
}

// enroll writes this node's own key while it has a lease and the stored state, and the
// store does not show it, on the condition that it is as the replica has it: a former run
// may have written it under a lease that lives, and late.
func (c *Core) enroll() {
	if !c.loaded || c.lease == 0 || c.enrolled() || c.enrolling || c.revision < c.enrolledAt {
		return
	}
	c.enrolling = true
	key := keyNode + c.cfg.Node
	own := protocol.Change{Put: key, Value: raw(nodeKey{Inc: c.inc, Lease: c.lease, Gate: c.gate != nil}), Lease: c.lease}
	c.txn(protocol.Txn{
		If:   []protocol.Condition{{Key: key, Version: c.nodes[c.cfg.Node].version}},
		Then: []protocol.Change{own},
	}, true, func(r StoreReply) {
		c.enrolling = false // tendHomes tries again, unless the watch shows it
		if r.Outcome == Applied {
			c.enrolledAt = r.Revision
		}
	})
	if c.termLease != c.lease {
		c.termLease = c.lease
		c.takeTerm()
	}
}

// tendHomes takes teams that have no home, or whose home is an earlier run of
// this node, and hands surplus teams to nodes that have too few.
func (c *Core) tendHomes() {
	c.enroll()
	if c.lease == 0 || !c.enrolled() || c.blind() {
		return
	}
	c.stateVersion()
	for i, t := range c.allTeams() {
		preferred := c.preferred(i)
		home, homeLives := c.nodes[t.home]
		orphan := t.version == 0 || !homeLives || home.Inc != t.homeInc
		reached := c.peers[preferred] != nil && c.peers[preferred].connected
		switch {
		case t.taking:
		case orphan && (preferred == c.cfg.Node || t.home == c.cfg.Node):
			c.assign(t, c.cfg.Node)
		case t.acting && preferred != c.cfg.Node && reached:
			c.assign(t, preferred)
		}
	}
}

// preferred is the controller that should be the home of team i: the same one
// for as long as it lives, so that an end elsewhere moves only the teams of
// that node. One that does not keep away from jobs that are away is left out.
func (c *Core) preferred(i int) string {
	for n := range c.roster {
		node := c.roster[(i+n)%len(c.roster)]
		if n, live := c.nodes[node]; live && (n.Gate || len(c.sites.versions) == 0) {
			return node
		}
	}
	return c.cfg.Node
}

// assign writes a team's home, on the condition that nobody else has.
func (c *Core) assign(t *team, node string) {
	n := c.nodes[node]
	t.taking = true
	c.txn(protocol.Txn{
		If: []protocol.Condition{t.held()},
		Then: []protocol.Change{{
			Put: t.key, Value: raw(homeKey{Node: node, Inc: n.Inc}), Lease: n.Lease,
		}},
	}, true, func(r StoreReply) {
		// The watch tells what came of it.
		t.taking = false
	})
}

// homeWritten notes a team's new home. Events arrive in order, so all that an
// earlier home has stored is in the replica by now.
func (c *Core) homeWritten(item protocol.KeyValue) error {
	var h homeKey
	if err := json.Unmarshal(item.Value, &h); err != nil {
		return err
	}
	for _, t := range c.allTeams() {
		if t.key != item.Key || t.version >= item.Version {
			continue
		}
		if t.acting {
			c.homeLost(t)
		}
		t.home, t.homeInc, t.version = h.Node, h.Inc, item.Version
		if h.Node == c.cfg.Node && h.Inc == c.inc {
			c.homeTaken(t)
		}
	}
	return nil
}

func (c *Core) homeTaken(t *team) {
	t.acting = true
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
		c.rental.reset(c.now.Steady)
	}
	if c.gate != nil && t == c.gate.team {
		c.gate.open(c)
	}
	c.sched.dirty = true
}

// homeLost ends this node's part as home. What it had not stored is void, so
// the jobs are read again.
func (c *Core) homeLost(t *team) {
	was := t.acting
	t.acting, t.home, t.homeInc, t.version = false, "", "", 0
	if c.gate != nil && t == c.gate.team {
		c.gate.machine = nil
	}
	if !was {
		return
	}
	c.log(Info, "home lost", "team", t.Name)
	for _, j := range t.jobs {
		c.forgetJob(j)
	}
	c.awaits.reloading = true
	c.emit(StoreReload{})
}
