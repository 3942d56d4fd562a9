package core

// sendTo sends a message to a controller, which may be this one.
func (c *Core) sendTo(node string, m PeerMessage) {
	if node == c.cfg.Node {
		c.handlePeerMessage(PeerMessageReceived{Node: node, Message: m})
		return
	}
	c.route(node, m)
}

// peerConnected records that a controller is connected, and sends it what it may have missed: the
// cancellations that users wait for, the newest reports of this node's machines, and the progress of the
// jobs handed off to other sites.
func (c *Core) peerConnected(node string) {
	c.peers.setConnected(node, true)
	c.announcements.repeatUnconfirmed(node)
	var observations []Observation
	for session, m := range c.agents.ownMachines() {
		observations = append(observations, Observation{Node: c.cfg.Node, Token: session.token, Report: m.Report, Direct: c.reportOverdue(m)})
	}
	for batch := range batchObservations(observations) {
		c.route(node, PeerMessage{Observations: batch})
	}
	if progress := c.handoffs.acceptedProgress(); len(progress) > 0 {
		c.route(node, PeerMessage{Federation: &FederationMessage{Progress: progress}})
	}
}

// handlePeerMessage dispatches a message from another controller, or forwards it to its receiver.
func (c *Core) handlePeerMessage(in PeerMessageReceived) {
	m, from := in.Message, in.Node
	if m.To != "" && m.To != c.cfg.Node {
		c.route(m.To, m)
		return
	}
	if m.From != "" {
		from = m.From
	}
	c.peers.recordContact(from, c.now.Steady)
	switch {
	case m.Observations != nil:
		for _, observation := range m.Observations {
			c.applyObservation(observation)
		}
	case m.Accepted != nil:
		c.applyAccepted(*m.Accepted)
	case m.Claims != nil:
		for _, claim := range m.Claims {
			c.handleClaim(from, claim)
		}
	case m.Start != nil:
		c.agents.forwardStart(from, *m.Start)
	case m.Refusal != nil:
		c.reconciler.handleRefusal(*m.Refusal)
	case m.Command != nil:
		c.agents.queueCommand(*m.Command)
	case m.Fence != nil:
		c.agents.fence(*m.Fence)
	case m.ReturnRequest != nil:
		c.handleReturnRequest(*m.ReturnRequest)
	case m.Heartbeat != nil:
		c.handleNodeHeartbeat(from, *m.Heartbeat)
	case m.Federation != nil:
		c.federation.handleFederationMessage(from, *m.Federation)
	case m.Cancellations != nil:
		c.announcements.receive(from, m.Cancellations)
	case m.Acknowledged != nil:
		c.announcements.acknowledge(from, m.Acknowledged...)
	}
}
