package core

import "pepperlever/internal/core/job"

// isUnreachable tells whether a controller lives, by its lease in the store, and no message of
// it comes here.
func (c *Core) isUnreachable(node string) bool {
	live := c.members.isLive(node)
	return live && !c.inDirectContact(node)
}

// unreachablePeers lists the live controllers that this node gets no messages from.
func (c *Core) unreachablePeers() []string {
	var out []string
	for _, node := range c.members.roster {
		if c.isUnreachable(node) {
			out = append(out, node)
		}
	}
	return out
}

// partitionedFrom tells whether messages between this node and a live controller may be
// lost, one way or both.
func (c *Core) partitionedFrom(node string) bool {
	if live := c.members.isLive(node); !live || c.peers.get(node) == nil {
		return false
	}
	return c.peers.cannotHear(node) || !c.inDirectContact(node)
}

// partitioned tells whether this node is partitioned from any controller.
func (c *Core) partitioned() bool {
	for node := range c.members.live {
		if c.partitionedFrom(node) {
			return true
		}
	}
	return false
}

// partitionedFromLeader tells whether a job's leader is a controller that this node is
// partitioned from, so that this node has to act for it on the machines that it serves.
func (c *Core) partitionedFromLeader(j *job.Job) bool {
	t := c.teamBy[j.Team]
	return t != nil && !t.leading && c.partitionedFrom(t.leader)
}

// hasContact tells whether heartbeats of a controller come here, by messages or by the store
// relay. What is bound to the machines of one without contact is not started.
func (c *Core) hasContact(node string) bool {
	if c.inDirectContact(node) {
		return true
	}
	patience := c.reportInterval() + 2*c.relayInterval()
	return c.isUnreachable(node) && c.relay.heartbeatWithin(node, c.now.Steady, patience)
}

// knowsMachinesOf tells whether this node knows which machines a controller serves: from a
// controller that is known by the store relay alone, only once its pages name them.
func (c *Core) knowsMachinesOf(node string) bool {
	return c.inDirectContact(node) || c.hasContact(node) && c.relay.namesMachines(node)
}
