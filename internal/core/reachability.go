package core

import (
	"time"

	"pepperlever/internal/core/job"
)

// reachability tells which controllers this node is in contact with, directly or through the
// store relay, and which it is partitioned from. It has no state of its own.
type reachability struct {
	*environment
	members *membership
	peers   *peerTable
	relay   *storeRelay
}

// inDirectContact tells whether a message of a controller has come lately, directly or over
// an intermediary. Starts for the machines of one that is silent are lost, and
// its workers need seconds to turn to another.
func (r *reachability) inDirectContact(node string) bool {
	return r.peers.inContact(node, r.now.Steady)
}

// isUnreachable tells whether a controller lives, by its lease in the store, and no message of
// it comes here.
func (r *reachability) isUnreachable(node string) bool {
	return r.members.isLive(node) && !r.inDirectContact(node)
}

// unreachable lists the live controllers that this node gets no messages from.
func (r *reachability) unreachable() []string {
	var out []string
	for _, node := range r.members.roster {
		if r.isUnreachable(node) {
			out = append(out, node)
		}
	}
	return out
}

// partitionedFrom tells whether messages between this node and a live controller may be
// lost, one way or both.
func (r *reachability) partitionedFrom(node string) bool {
	if !r.members.isLive(node) || r.peers.get(node) == nil {
		return false
	}
	return r.peers.cannotHear(node) || !r.inDirectContact(node)
}

// partitioned tells whether this node is partitioned from any controller.
func (r *reachability) partitioned() bool {
	for node := range r.members.live {
		if r.partitionedFrom(node) {
			return true
		}
	}
	return false
}

// isolated tells whether no message of any peer comes here. A node without peers is not isolated.
func (r *reachability) isolated() bool {
	for _, node := range r.peers.names {
		if r.inDirectContact(node) {
			return false
		}
	}
	return len(r.peers.names) > 0
}

// hasContact tells whether heartbeats of a controller come here, by messages or by the store
// relay. What is bound to the machines of one without contact is not started.
func (r *reachability) hasContact(node string) bool {
	return r.inDirectContact(node) ||
		r.isUnreachable(node) && r.relay.heartbeatWithin(node, r.now.Steady, r.relayPatience())
}

// relayPatience is the longest expected time between two heartbeats by the store relay.
func (r *reachability) relayPatience() time.Duration {
	return r.reportInterval() + 2*r.relay.interval()
}

// knowsMachinesOf tells whether this node knows which machines a controller serves: from a
// controller that is known by the store relay alone, only once its pages name them.
func (r *reachability) knowsMachinesOf(node string) bool {
	return r.inDirectContact(node) || r.hasContact(node) && r.relay.namesMachines(node)
}

// knownToAnother tells whether a second controller knows of a cancellation, or there is none.
// One of an older release can't say so: it is left to its watch.
func (r *reachability) knownToAnother(a *cancelAnnouncement) bool {
	alone := true
	for node, p := range r.peers.states {
		inContact := r.inDirectContact(node)
		if a.knownTo(node, r.peers) || inContact && p.lastHeartbeatID == "" {
			return true
		}
		alone = alone && !inContact && !r.members.isLive(node)
	}
	return alone
}

// partitionedFromLeader tells whether a job's leader is a controller that this node is
// partitioned from, so that this node has to act for it on the machines that it serves.
func (c *Core) partitionedFromLeader(j *job.Job) bool {
	t := c.teamBy[j.Team]
	return t != nil && !t.leading && c.reach.partitionedFrom(t.leader)
}
