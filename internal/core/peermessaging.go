package core

import (
	"iter"
	"maps"
)

// sendTo sends a message to a node, this one included.
func (c *Core) sendTo(node string, m PeerMessage) {
	if node == c.cfg.Node {
		c.handlePeerMessage(PeerMessageReceived{Node: node, Message: m})
		return
	}
	c.route(node, m)
}

// route sends a message to a peer, over an intermediary while there is no connection to it.
// What finds no route is dropped: nothing depends on a message's arrival.
func (c *Core) route(node string, m PeerMessage) {
	p := c.peers.get(node)
	if p == nil {
		return
	}
	if p.connected {
		c.emit(SendPeer{Nodes: []string{node}, Message: m})
		return
	}
	if m.To != "" {
		return // it has come from an intermediary, and is not passed on twice
	}
	m.To, m.From = node, c.cfg.Node
	if via := c.peers.intermediary(node); via != "" {
		c.emit(SendPeer{Nodes: []string{via}, Message: m})
	}
}

// broadcast sends a message to every other controller.
func (c *Core) broadcast(m PeerMessage) {
	connected, disconnected := c.peers.connections()
	for _, node := range disconnected {
		c.route(node, m)
	}
	if len(connected) > 0 {
		c.emit(SendPeer{Nodes: connected, Message: m})
	}
}

// peerConnected sends a controller that can be reached again all reports that it missed.
func (c *Core) peerConnected(node string) {
	c.peers.setConnected(node, true)
	var all []Observation
	for id, w := range c.agents.all() {
		if m := c.machines.Get(id); m != nil && m.Node == c.cfg.Node {
			all = append(all, Observation{Node: c.cfg.Node, Token: w.token, Report: m.Report, Direct: c.reportOverdue(m)})
		}
	}
	for part := range batchObservations(all) {
		c.route(node, PeerMessage{Observations: part})
	}
	if len(c.handoffs.progress) > 0 {
		c.route(node, PeerMessage{Federation: &FederationNote{Progress: maps.Clone(c.handoffs.progress)}})
	}
}

// flushObservations passes on what was observed since the last time: one message for many
// reports costs each controller far less than one for each.
func (c *Core) flushObservations() {
	for part := range batchObservations(c.pendingObservations) {
		c.broadcast(PeerMessage{Observations: part})
	}
	c.pendingObservations = nil
}

const (
	// tasksPerMessage bounds the size of a message: the reports of machines with hundreds
	// of small tasks each would exceed the longest line that a peer reads.
	tasksPerMessage = 1024
	// tasksPerReport is how many tasks take as much room as a report without tasks.
	tasksPerReport = 8
)

// batchObservations splits observations into messages. One report is never split.
func batchObservations(all []Observation) iter.Seq[[]Observation] {
	return func(yield func([]Observation) bool) {
		from, size := 0, 0
		for i, o := range all {
			n := tasksPerReport + len(o.Report.Tasks)
			if size += n; size > tasksPerMessage && i > from {
				if !yield(all[from:i]) {
					return
				}
				from, size = i, n
			}
		}
		if from < len(all) {
			yield(all[from:])
		}
	}
}

func (c *Core) handlePeerMessage(in PeerMessageReceived) {
	m, from := in.Message, in.Node
	if m.To != "" && m.To != c.cfg.Node {
		c.route(m.To, m)
		return
	}
	if m.From != "" {
		from = m.From
	}
	c.peers.noteContact(from, c.now.Steady)
	switch {
	case m.Observations != nil:
		for _, o := range m.Observations {
			c.applyObservation(o)
		}
	case m.Accepted != nil:
		c.onPut(*m.Accepted)
	case m.Claims != nil:
		for _, k := range m.Claims {
			c.noteRemoteClaim(k)
		}
	case m.Start != nil:
		c.agents.forwardStart(from, *m.Start)
	case m.Refusal != nil:
		c.handleRefusal(*m.Refusal)
	case m.Command != nil:
		c.agents.queueCommand(*m.Command)
	case m.Fence != nil:
		c.agents.fence(*m.Fence)
	case m.ReturnRequest != nil:
		c.handleReturnRequest(*m.ReturnRequest)
	case m.Heartbeat != nil:
		c.handleNodeHeartbeat(from, *m.Heartbeat)
	case m.Federation != nil:
		c.handleFederationNote(from, *m.Federation)
	case m.Cancellations != nil:
		c.announcements.receive(from, m.Cancellations)
	case m.Acknowledged != nil:
		c.announcements.acknowledge(from, m.Acknowledged...)
	}
}
