package core

import "pepperlever/internal/core/fairness"

// sendHeartbeat broadcasts this node's heartbeat, with the records of the teams that it
// leads every record interval.
func (c *Core) sendHeartbeat() {
	b := c.newHeartbeat()
	if c.every(&c.timers.share, usageRecordInterval) {
		b.Records = c.ownRecords()
	}
	b.ReportingMachines, b.ReportSeqs = c.agents.takeReported()
	c.broadcast(PeerMessage{Heartbeat: &b})
}

// newHeartbeat makes a heartbeat with what it says both over connections and through the store.
func (c *Core) newHeartbeat() NodeHeartbeat {
	_, disconnected := c.peers.connections()
	return NodeHeartbeat{
		Revision:         c.replica.revision,
		StoreOK:          c.storeOK,
		PendingWrites:    c.writer.budget.due,
		ID:               c.freshness.nextHeartbeatID(c.members.incarnation),
		Acknowledgements: c.peers.heartbeatIDs(c.members.roster),
		Unacknowledged:   c.announcements.unacknowledgedBy(c.members.roster, c.peers),
		Unreachable:      c.reach.unreachable(),
		Disconnected:     disconnected,
	}
}

// ownRecords returns the records of the teams that this node leads. From now on it ranks
// by them, as the receivers do.
func (c *Core) ownRecords() map[string]fairness.Record {
	out := map[string]fairness.Record{}
	for _, t := range c.teams {
		if t.leading {
			t.ranked = t.record
			out[t.Name] = t.record
		}
	}
	return out
}

// handleNodeHeartbeat takes in the heartbeat of another controller.
func (c *Core) handleNodeHeartbeat(node string, b NodeHeartbeat) {
	p := c.peers.get(node)
	if p == nil {
		return
	}
	p.applyHeartbeat(&b)
	c.freshness.noteAcknowledgements(p, &b)
	for name, r := range b.Records {
		if t := c.teamBy[name]; t != nil && !t.leading {
			t.record, t.ranked = r, r
		}
	}
	for i, id := range b.ReportingMachines {
		m := c.machines.Get(id)
		if m == nil {
			continue
		}
		if m.Node == node && i < len(b.ReportSeqs) {
			m.AnnouncedSeq = max(m.AnnouncedSeq, b.ReportSeqs[i])
		}
		c.machines.RecordContact(m, false, c.now.Steady)
	}
}
