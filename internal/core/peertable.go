package core

import (
	"iter"
	"slices"
	"time"

	"pepperlever/internal/core/lastseen"
	"pepperlever/internal/settings"
)

// peerTable holds what is known of the other controllers: whether a connection to them is open,
// when their last message arrived, and the contents of their newest heartbeats.
type peerTable struct {
	self string
	// names lists the other controllers in the order of the settings.
	names  []string
	states map[string]*peerState
	// contactTimeout is the time without messages from a peer after which it is not in contact but
	// silent.
	contactTimeout time.Duration
}

// peerState is what is known of another controller.
type peerState struct {
	// connected is set while messages can be sent to the peer.
	connected bool
	// lastContact is when the newest message of the peer arrived, lastHeartbeat when its newest
	// heartbeat did, as a message or through the store relay.
	lastContact, lastHeartbeat lastseen.Time
	// storeOK is set while the store replies to the peer.
	storeOK bool
	// pendingWrites counts the peer's job changes that wait to be stored.
	pendingWrites changesByRank
	// revision is the newest revision that the peer's replica is known to have reached.
	revision uint64
	// lastHeartbeatID is the ID of the peer's newest heartbeat, see isEarlierVersion.
	lastHeartbeatID string
	// freshUntil is the time up to which the peer has announced to this node every cancellation
	// that it knew of.
	freshUntil time.Duration
	// unreachable lists the controllers whose messages do not reach the peer. disconnected lists
	// the controllers that it has no connection to.
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

// get returns the state of a peer, or nil for an unknown node.
func (t *peerTable) get(node string) *peerState { return t.states[node] }

func (t *peerTable) setConnected(node string, connected bool) {
	t.states[node].connected = connected
}

// isConnected reports whether messages can be sent to a node.
func (t *peerTable) isConnected(node string) bool {
	p := t.states[node]
	return p != nil && p.connected
}

// connections splits the peers into connected and disconnected ones.
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

// recordContact records that a message from a node has arrived, directly or through an
// intermediary.
func (t *peerTable) recordContact(node string, now time.Duration) {
	if p := t.states[node]; p != nil {
		p.lastContact.Record(now)
	}
}

// inContact reports whether a message from a node has arrived recently. A node is always in
// contact with itself. Shortly after the start of this node, a peer may be neither in contact nor
// silent: decisions that rely on a peer need inContact, decisions that give it up need isSilent.
func (t *peerTable) inContact(node string, now time.Duration) bool {
	p := t.states[node]
	return node == t.self || p != nil && p.lastContact.Within(now, t.contactTimeout)
}

// isSilent reports whether this node has waited for a message from another node for so long that
// messages from there probably do not arrive.
func (t *peerTable) isSilent(node string, now time.Duration) bool {
	p := t.states[node]
	return node != t.self && (p == nil || p.lastContact.AbsentFor(now, t.contactTimeout))
}

// canServeWorkers reports whether a peer is connected and is likely to be able to serve
// workers.
func (t *peerTable) canServeWorkers(node string, now time.Duration) bool {
	return t.isConnected(node) && t.states[node].storeOK && t.inContact(node, now)
}

// intermediary returns a connected peer that can forward a message to a node, or an empty
// string if there is none. Peers that do not report the node as disconnected are preferred.
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

// reportsSelfUnreachable reports whether a peer has said that it receives no messages from this
// node.
func (t *peerTable) reportsSelfUnreachable(node string) bool {
	return slices.Contains(t.states[node].unreachable, t.self)
}

// acknowledgements returns the newest heartbeat of each given controller that has sent one.
func (t *peerTable) acknowledgements(nodes []string) (out []Acknowledgement) {
	for _, node := range nodes {
		if p := t.states[node]; p != nil && p.lastHeartbeatID != "" {
			out = append(out, Acknowledgement{Node: node, HeartbeatID: p.lastHeartbeatID})
		}
	}
	return out
}

// pendingWrites yields the number of job changes that wait to be stored at each peer.
func (t *peerTable) pendingWrites() iter.Seq2[string, changesByRank] {
	return func(yield func(string, changesByRank) bool) {
		for _, node := range t.names {
			if !yield(node, t.states[node].pendingWrites) {
				return
			}
		}
	}
}

// reportStoreOutage reports whether at least half of the peers with a recent heartbeat, and at
// least one, say that the store does not reply to them. It is always true for a controller
// without peers.
func (t *peerTable) reportStoreOutage(now time.Duration) bool {
	recent, withoutStore := 0, 0
	for _, p := range t.states {
		if !p.lastHeartbeat.Within(now, 2*t.contactTimeout) {
			continue
		}
		recent++
		if !p.storeOK {
			withoutStore++
		}
	}
	return len(t.states) == 0 || withoutStore > 0 && 2*withoutStore >= recent
}

// freshUntil returns the time up to which all peers have announced to this node every cancellation
// that they knew of, or now if there are no peers.
func (t *peerTable) freshUntil(now time.Duration) time.Duration {
	for _, p := range t.states {
		now = min(now, p.freshUntil)
	}
	return now
}

// isEarlierVersion reports whether the peer is known to run an earlier version, which neither
// identifies nor acknowledges heartbeats, nor cancellations.
func (p *peerState) isEarlierVersion() bool { return p.lastHeartbeat.Ever() && p.lastHeartbeatID == "" }

// applyHeartbeat updates the peer's state from its heartbeat.
func (p *peerState) applyHeartbeat(heartbeat *NodeHeartbeat, now time.Duration) {
	p.lastHeartbeat.Record(now)
	p.revision = max(p.revision, heartbeat.Revision)
	p.lastHeartbeatID = heartbeat.ID
	p.storeOK = heartbeat.StoreOK
	p.pendingWrites = heartbeat.PendingWrites
	p.unreachable, p.disconnected = heartbeat.Unreachable, heartbeat.Disconnected
}
