package core

import (
	"iter"
	"slices"
	"time"

	"pepperlever/internal/settings"
)

// peerTable holds what is known of the other controllers: whether a connection to them is
// open, when their last message came, and what their newest heartbeats say.
type peerTable struct {
	self string
	// names lists the other controllers in the order of the settings.
	names  []string
	states map[string]*peerState
	// contactTimeout is after how long without a message a peer counts as out of contact.
	contactTimeout time.Duration
}

// peerState is what is known of another controller.
type peerState struct {
	// connected is set while messages can be sent to it.
	connected bool
	// storeOK tells whether the store answers it.
	storeOK     bool
	lastContact time.Duration
	// pendingWrites is how many changes of jobs wait there to be stored.
	pendingWrites changesByRank
	// revision is how far its replica has been.
	revision uint64
	// lastHeartbeatID names its newest heartbeat, which is empty in releases that do not
	// acknowledge heartbeats.
	lastHeartbeatID string
	// freshUntil is the time up to which it has passed on every cancellation that it knew of.
	freshUntil time.Duration
	// unreachable names the controllers that it gets no messages from, disconnected those
	// that it can't send to.
	unreachable, disconnected []string
}

func newPeerTable(cfg *settings.Settings) *peerTable {
	t := &peerTable{
		self:           cfg.Node,
		states:         map[string]*peerState{},
		contactTimeout: seconds(cfg.Params.Workers.ReportS),
	}
	for _, p := range cfg.Peers {
		t.names = append(t.names, p.Node)
		t.states[p.Node] = &peerState{}
	}
	return t
}

// get returns what is known of a peer, nil for an unknown node.
func (t *peerTable) get(node string) *peerState { return t.states[node] }

func (t *peerTable) setConnected(node string, connected bool) {
	t.states[node].connected = connected
}

// isConnected tells whether messages can be sent to a node.
func (t *peerTable) isConnected(node string) bool {
	p := t.states[node]
	return p != nil && p.connected
}

// connections divides the peers into those that messages can be sent to and the rest.
func (t *peerTable) connections() (connected, disconnected []string) {
	for _, node := range t.names {
		if t.states[node].connected {
			connected = append(connected, node)
		} else {
			disconnected = append(disconnected, node)
		}
	}
	return connected, disconnected
}

// noteContact notes that a message of a node has come, directly or over an intermediary.
func (t *peerTable) noteContact(node string, now time.Duration) {
	if p := t.states[node]; p != nil {
		p.lastContact = now
	}
}

// inContact tells whether a message of a node has come lately. A node is always in
// contact with itself.
func (t *peerTable) inContact(node string, now time.Duration) bool {
	p := t.states[node]
	return node == t.self || p != nil && now-p.lastContact < t.contactTimeout
}

// servesWorkers tells whether a peer can be reached and is likely to be able to serve workers.
func (t *peerTable) servesWorkers(node string, now time.Duration) bool {
	return t.isConnected(node) && t.states[node].storeOK && t.inContact(node, now)
}

// intermediary names a connected peer that can pass a message on to a node, preferably
// one that has said that it is connected to that node. It is empty if there is none.
func (t *peerTable) intermediary(node string) (via string) {
	for _, other := range t.names {
		p := t.states[other]
		if other == node || !p.connected {
			continue
		}
		if !slices.Contains(p.disconnected, node) {
			return other
		}
		if via == "" {
			via = other
		}
	}
	return via
}

// cannotHear tells whether a peer has said that it gets no messages from this node.
func (t *peerTable) cannotHear(node string) bool {
	return slices.Contains(t.states[node].unreachable, t.self)
}

// heartbeatIDs names the newest heartbeat of each of the given controllers that has sent one.
func (t *peerTable) heartbeatIDs(nodes []string) (out []Acknowledgement) {
	for _, node := range nodes {
		if p := t.states[node]; p != nil && p.lastHeartbeatID != "" {
			out = append(out, Acknowledgement{Node: node, HeartbeatID: p.lastHeartbeatID})
		}
	}
	return out
}

// pendingWrites yields how many changes of jobs wait at each peer to be stored.
func (t *peerTable) pendingWrites() iter.Seq2[string, changesByRank] {
	return func(yield func(string, changesByRank) bool) {
		for _, node := range t.names {
			if !yield(node, t.states[node].pendingWrites) {
				return
			}
		}
	}
}

// lackStore tells whether at least half of the peers with recent contact, and at least one,
// say that the store does not answer them. A controller without peers takes that for granted.
func (t *peerTable) lackStore(now time.Duration) bool {
	recent, withoutStore := 0, 0
	for _, p := range t.states {
		if now-p.lastContact >= 2*t.contactTimeout {
			continue
		}
		recent++
		if !p.storeOK {
			withoutStore++
		}
	}
	return len(t.states) == 0 || withoutStore > 0 && 2*withoutStore >= recent
}

// freshUntil is the time up to which all peers have passed on every cancellation that they
// knew of, now if there are no peers.
func (t *peerTable) freshUntil(now time.Duration) time.Duration {
	for _, p := range t.states {
		now = min(now, p.freshUntil)
	}
	return now
}

// applyHeartbeat notes what a heartbeat says of its sender.
func (p *peerState) applyHeartbeat(b *NodeHeartbeat) {
	p.revision = max(p.revision, b.Revision)
	p.lastHeartbeatID = b.ID
	p.storeOK = b.StoreOK
	p.pendingWrites = b.PendingWrites
	p.unreachable, p.disconnected = b.Unreachable, b.Disconnected
}
