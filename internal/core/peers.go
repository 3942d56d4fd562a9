package core

import (
	"iter"
	"maps"
	"slices"
	"time"

	"pepperlever/internal/core/fairness"
)

// peerState is what is known of another controller.
type peerState struct {
	connected   bool
	storeOK     bool
	lastContact time.Duration
	// pendingWrites is how many changes of jobs wait there to be stored.
	pendingWrites changesByRank
	// revision is how far its replica has been.
	revision uint64
	// lastHeartbeatID is its newest beat here; up to sure it has told all that it knew of.
	lastHeartbeatID string
	freshUntil      time.Duration
	// unreachable are the nodes that it says it does not hear, cut those that it can't send to.
	unreachable, disconnected []string
}

// inDirectContact tells whether a controller has given a sign of life lately, directly or
// over a third node. Starts for the machines of one that is silent are lost, and
// its workers need seconds to turn to another.
func (c *Core) inDirectContact(node string) bool {
	p := c.peers[node]
	return node == c.cfg.Node || p != nil && c.now.Steady-p.lastContact < c.reportInterval()
}

// sendTo sends a message to a node, this one included.
func (c *Core) sendTo(node string, m PeerMessage) {
	if node == c.cfg.Node {
		c.handlePeerMessage(PeerMessageReceived{Node: node, Message: m})
		return
	}
	c.route(node, m)
}

// route sends directly, or over a third node when the direct way is cut.
// What finds no way is dropped: nothing depends on a message's arrival.
func (c *Core) route(node string, m PeerMessage) {
	p := c.peers[node]
	if p == nil {
		return
	}
	if p.connected {
		c.emit(SendPeer{Nodes: []string{node}, Message: m})
		return
	}
	if m.To != "" {
		return
	}
	m.To, m.From = node, c.cfg.Node
	if third := c.intermediary(node); third != "" {
		c.emit(SendPeer{Nodes: []string{third}, Message: m})
	}
}

// intermediary names the node over which to reach one that can't be reached: if there is one,
// a node that has said it can send to it.
func (c *Core) intermediary(node string) (third string) {
	for _, other := range c.cfg.Peers {
		if other.Node == node || !c.peers[other.Node].connected {
			continue
		}
		if !slices.Contains(c.peers[other.Node].disconnected, node) {
			return other.Node
		}
		if third == "" {
			third = other.Node
		}
	}
	return third
}

// peerConnected tells a controller that can be reached again all that it missed.
func (c *Core) peerConnected(node string) {
	c.peers[node].connected = true
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

// tasksPerMessage bounds the size of one message: the reports of machines with
// hundreds of small tasks each would make it longer than a peer takes in one
// line, and the stream would be opened anew again and again.
const tasksPerMessage = 1024

// batchObservations splits observations into messages. One report is never split.
func batchObservations(all []Observation) iter.Seq[[]Observation] {
	return func(yield func([]Observation) bool) {
		from, tasks := 0, 0
		for i, o := range all {
			n := 8 + len(o.Report.Tasks) // a report without tasks is as long as a few of them
			if tasks += n; tasks > tasksPerMessage && i > from {
				if !yield(all[from:i]) {
					return
				}
				from, tasks = i, n
			}
		}
		if from < len(all) {
			yield(all[from:])
		}
	}
}

// broadcast sends a message to every other controller.
func (c *Core) broadcast(m PeerMessage) {
	var direct []string
	for _, p := range c.cfg.Peers {
		if c.peers[p.Node].connected {
			direct = append(direct, p.Node)
		} else {
			c.route(p.Node, m)
		}
	}
	if len(direct) > 0 {
		c.emit(SendPeer{Nodes: direct, Message: m})
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

func (c *Core) handlePeerMessage(in PeerMessageReceived) {
	m, from := in.Message, in.Node
	if m.To != "" && m.To != c.cfg.Node {
		c.route(m.To, m)
		return
	}
	if m.From != "" {
		from = m.From
	}
	if p := c.peers[from]; p != nil {
		p.lastContact = c.now.Steady
	}
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
		c.forwardStart(from, *m.Start)
	case m.Refusal != nil:
		c.handleRefusal(*m.Refusal)
	case m.Command != nil:
		c.queueCommand(*m.Command)
	case m.Fence != nil:
		c.fence(*m.Fence)
	case m.ReturnRequest != nil:
		c.handleReturnRequest(*m.ReturnRequest)
	case m.Heartbeat != nil:
		c.handleNodeHeartbeat(from, *m.Heartbeat)
	case m.Federation != nil:
		c.handleFederationNote(from, *m.Federation)
	case m.Cancellations != nil:
		c.handleCancellations(from, m.Cancellations)
	case m.Acknowledged != nil:
		c.handleAcknowledgements(from, m.Acknowledged)
	}
}

// sendHeartbeat sends this node's sign of life, with the records of its teams every
// record interval.
func (c *Core) sendHeartbeat() {
	b := c.newHeartbeat()
	if c.every(&c.timers.share, usageRecordInterval) {
		b.Records = c.ownRecords()
	}
	for id := range c.agents.all() {
		if m := c.machines.Get(id); m != nil && m.Node == c.cfg.Node && m.LastReport > c.heartbeatAt {
			b.HeardMachines, b.ReportSeqs = append(b.HeardMachines, id), append(b.ReportSeqs, m.Seq)
		}
	}
	c.heartbeatAt = c.now.Steady
	c.broadcast(PeerMessage{Heartbeat: &b})
}

// newHeartbeat is what a beat says by whichever way it goes.
func (c *Core) newHeartbeat() NodeHeartbeat {
	b := NodeHeartbeat{Revision: c.revision, StoreOK: c.storeOK, PendingWrites: c.writeBudget.due, Unreachable: c.unreachablePeers(), ID: c.nextHeartbeatID()}
	b.Acknowledgements, b.Unacknowledged = c.acknowledgements()
	for _, other := range c.cfg.Peers {
		if !c.peers[other.Node].connected {
			b.Disconnected = append(b.Disconnected, other.Node)
		}
	}
	return b
}

// ownRecords are the records of the teams that this node is home of, by which it
// ranks from now on as the others do.
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

func (c *Core) handleNodeHeartbeat(node string, b NodeHeartbeat) {
	p := c.peers[node]
	if p == nil {
		return
	}
	p.revision = max(p.revision, b.Revision)
	p.lastHeartbeatID = b.ID
	c.noteAcknowledgements(p, &b)
	p.storeOK, p.pendingWrites = b.StoreOK, b.PendingWrites
	p.unreachable, p.disconnected = b.Unreachable, b.Disconnected
	for name, r := range b.Records {
		if t := c.teamBy[name]; t != nil && !t.leading {
			t.record, t.ranked = r, r
		}
	}
	for i, id := range b.HeardMachines {
		if m := c.machines.Get(id); m != nil {
			if m.Node == node && i < len(b.ReportSeqs) {
				m.AnnouncedSeq = max(m.AnnouncedSeq, b.ReportSeqs[i])
			}
			c.machines.RecordContact(m, false, c.now.Steady)
		}
	}
}
