package core

import "pepperlever/internal/core/fairness"

// sendHeartbeat broadcasts this node's heartbeat. Once per usage record interval it includes
// the usage records of the teams that this node leads.
func (c *Core) sendHeartbeat() {
	heartbeat := c.newHeartbeat()
	if c.every(&c.timers.shareUsage, usageRecordInterval) {
		heartbeat.Records = c.ownUsageRecords()
	}
	heartbeat.ReportingMachines, heartbeat.ReportSeqs = c.agents.takeReported()
	c.broadcast(PeerMessage{Heartbeat: &heartbeat})
}

// newHeartbeat returns a heartbeat with the fields that are sent both over connections and
// through the store.
func (c *Core) newHeartbeat() NodeHeartbeat {
	_, disconnected := c.peers.connections()
	return NodeHeartbeat{
		Revision:         c.replica.revision,
		StoreOK:          c.storeOK,
		PendingWrites:    c.writer.budget.due,
		ID:               c.freshness.nextHeartbeatID(c.members.incarnation),
		Acknowledgements: c.peers.acknowledgements(c.members.controllers),
		Unacknowledged:   c.announcements.unacknowledgedBy(c.members.controllers, c.peers),
		Unreachable:      c.peerReachability.unreachable(),
		Disconnected:     disconnected,
	}
}

// ownUsageRecords returns the usage records of the teams that this node leads. From now on this
// node ranks the teams by these records, as the receivers do.
func (c *Core) ownUsageRecords() map[string]fairness.Record {
	records := map[string]fairness.Record{}
	for _, t := range c.teams {
		if t.leading {
			t.exchangedRecord = t.record
			records[t.Name] = t.record
		}
	}
	return records
}

// handleNodeHeartbeat processes a heartbeat from another controller.
func (c *Core) handleNodeHeartbeat(node string, heartbeat NodeHeartbeat) {
	peer := c.peers.get(node)
	if peer == nil {
		return
	}
	peer.applyHeartbeat(&heartbeat, c.now.Steady)
	c.freshness.recordAcknowledgements(peer, &heartbeat)
	for name, usage := range heartbeat.Records {
		if t := c.teamsByName[name]; t != nil && !t.leading {
			t.record, t.exchangedRecord = usage, usage
		}
	}
	for i, id := range heartbeat.ReportingMachines {
		m := c.machines.Get(id)
		if m == nil {
			continue
		}
		if m.Node == node && i < len(heartbeat.ReportSeqs) {
			m.AnnouncedSeq = max(m.AnnouncedSeq, heartbeat.ReportSeqs[i])
		}
		c.machines.RecordContact(m, false, c.now.Steady)
	}
}
