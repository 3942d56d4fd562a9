package core

import (
	"time"

	"pepperlever/internal/core/job"
)

// reachability determines which controllers this node hears from, as messages or through the store
// relay, and which it is partitioned from. It has no state of its own.
type reachability struct {
	*environment
	replica *replica
	members *membership
	peers   *peerTable
	relay   *storeRelay
}

// receivesMessagesFrom reports whether a message from a controller has arrived recently, over a
// connection or through an intermediary. If a controller has stopped sending messages, start
// commands for its machines are lost, and its workers need seconds to switch to another controller.
// It is false for a controller that has not been heard since this node started.
func (r *reachability) receivesMessagesFrom(node string) bool {
	return r.peers.inContact(node, r.now.Steady)
}

// isSilent reports whether this node has received no message from a controller for a report
// interval. A node that has just started has to listen for as long before it can tell.
func (r *reachability) isSilent(node string) bool { return r.peers.isSilent(node, r.now.Steady) }

// isUnreachable reports whether a controller has a live lease in the store although none of its
// messages arrive here.
func (r *reachability) isUnreachable(node string) bool {
	return r.members.isLive(node) && r.isSilent(node)
}

// unreachable returns the live controllers whose messages do not arrive here.
func (r *reachability) unreachable() []string {
	var nodes []string
	for _, node := range r.members.controllers {
		if r.isUnreachable(node) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// partitionedFrom reports whether messages between this node and a live controller may be lost,
// in either direction.
func (r *reachability) partitionedFrom(node string) bool {
	if !r.members.isLive(node) || r.peers.get(node) == nil {
		return false
	}
	return r.peers.reportsSelfUnreachable(node) || r.isSilent(node)
}

// partitioned reports whether this node is partitioned from any controller.
func (r *reachability) partitioned() bool {
	for node := range r.members.live {
		if r.partitionedFrom(node) {
			return true
		}
	}
	return false
}

// isolated reports whether no messages from any peer arrive here. A controller without peers is
// not isolated.
func (r *reachability) isolated() bool {
	for _, node := range r.peers.names {
		if !r.isSilent(node) {
			return false
		}
	}
	return len(r.peers.names) > 0
}

// hasContact reports whether heartbeats from a controller arrive here, as messages or through the
// store relay. Tasks bound to the machines of a controller without contact might not be started,
// so none are placed there.
func (r *reachability) hasContact(node string) bool {
	return r.receivesMessagesFrom(node) ||
		r.members.isLive(node) && r.relay.heartbeatWithin(node, r.now.Steady, r.relayTimeout())
}

// relayTimeout returns the longest expected time between two heartbeats through the store
// relay.
func (r *reachability) relayTimeout() time.Duration {
	return r.reportInterval() + 2*r.relay.interval()
}

// knowsMachinesOf reports whether this node knows which machines a controller serves. If only the
// store relay connects it to that controller, it knows them once one of the controller's pages
// lists machines.
func (r *reachability) knowsMachinesOf(node string) bool {
	return r.receivesMessagesFrom(node) || r.hasContact(node) && r.relay.listsMachines(node)
}

// knownToSecondController reports whether a second controller knows of a cancellation, or there is
// no second one. A controller of an earlier version does not acknowledge cancellations and is
// trusted to learn of them from its watch while messages from it arrive.
func (r *reachability) knownToSecondController(a *cancelAnnouncement) bool {
	for node, peer := range r.peers.states {
		if a.knownTo(node, r.peers) || peer.isEarlierVersion() && r.receivesMessagesFrom(node) {
			return true
		}
	}
	return r.isOnlyController(a.Revision)
}

// isOnlyController reports whether no other controller ran at a store revision, as far as can be told:
// none is configured, or the replica reflects the revision and shows no other one as registered, and
// all are silent.
func (r *reachability) isOnlyController(revision uint64) bool {
	if len(r.peers.names) == 0 {
		return true
	}
	if !r.replica.reflects(revision) {
		return false
	}
	for _, node := range r.peers.names {
		if r.members.isLive(node) || !r.isSilent(node) {
			return false
		}
	}
	return true
}

// partitionedFromLeader reports whether this node is partitioned from the leader of a job's
// team, and therefore has to act for that leader on the machines that it serves.
func (c *Core) partitionedFromLeader(j *job.Job) bool {
	t := c.teamsByName[j.Team]
	return t != nil && !t.leading && c.peerReachability.partitionedFrom(t.leader)
}
