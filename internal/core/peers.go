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
	connected bool
	storeOK   bool
	seen      time.Duration
	// due is how many changes of jobs wait there to be stored.
	due ranks
	// revision is how far its replica has been.
	revision uint64
	// stamp is its newest beat here; up to sure it has told all that it knew of.
	stamp string
	sure  time.Duration
	// misses are the nodes that it says it does not hear, cut those that it can't send to.
	misses, cut []string
}

// hears tells whether a controller has given a sign of life lately, directly or
// over a third node. Starts for the machines of one that is silent are lost, and
// its workers need seconds to turn to another.
func (c *Core) hears(node string) bool {
	p := c.peers[node]
	return node == c.cfg.Node || p != nil && c.now.Steady-p.seen < c.reportInterval()
}

// tell sends a message to a node, this one included.
func (c *Core) tell(node string, m PeerMsg) {
	if node == c.cfg.Node {
		c.peerIn(PeerIn{Node: node, Msg: m})
		return
	}
	c.sendPeer(node, m)
}

// sendPeer sends directly, or over a third node when the direct way is cut.
// What finds no way is dropped: nothing depends on a message's arrival.
func (c *Core) sendPeer(node string, m PeerMsg) {
	p := c.peers[node]
	if p == nil {
		return
	}
	if p.connected {
		c.emit(SendPeer{Nodes: []string{node}, Msg: m})
		return
	}
	if m.To != "" {
		return
	}
	m.To, m.From = node, c.cfg.Node
	if third := c.thirdTo(node); third != "" {
		c.emit(SendPeer{Nodes: []string{third}, Msg: m})
	}
}

// thirdTo names the node over which to reach one that can't be reached: if there is one,
// a node that has said it can send to it.
func (c *Core) thirdTo(node string) (third string) {
	for _, other := range c.cfg.Peers {
		if other.Node == node || !c.peers[other.Node].connected {
			continue
		}
		if !slices.Contains(c.peers[other.Node].cut, node) {
			return other.Node
		}
		if third == "" {
			third = other.Node
		}
	}
	return third
}

// peerUp tells a controller that can be reached again all that it missed.
func (c *Core) peerUp(node string) {
	c.peers[node].connected = true
	var all []Observation
	for id, w := range ordered(c.own) {
		if m := c.machines[id]; m != nil && m.Node == c.cfg.Node {
			all = append(all, Observation{Node: c.cfg.Node, Term: w.term, Report: m.Report, Direct: c.reportOverdue(m)})
		}
	}
	for part := range parts(all) {
		c.sendPeer(node, PeerMsg{Observations: part})
	}
	if len(c.sites.progress) > 0 {
		c.sendPeer(node, PeerMsg{Site: &SiteNote{Progress: maps.Clone(c.sites.progress)}})
	}
}

// tasksPerMsg bounds the size of one message: the reports of machines with
// hundreds of small tasks each would make it longer than a peer takes in one
// line, and the stream would be opened anew again and again.
const tasksPerMsg = 1024

// parts splits observations into messages. One report is never split.
func parts(all []Observation) iter.Seq[[]Observation] {
	return func(yield func([]Observation) bool) {
		from, tasks := 0, 0
		for i, o := range all {
			n := 8 + len(o.Report.Tasks) // a report without tasks is as long as a few of them
			if tasks += n; tasks > tasksPerMsg && i > from {
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
func (c *Core) broadcast(m PeerMsg) {
	var direct []string
	for _, p := range c.cfg.Peers {
		if c.peers[p.Node].connected {
			direct = append(direct, p.Node)
		} else {
			c.sendPeer(p.Node, m)
		}
	}
	if len(direct) > 0 {
		c.emit(SendPeer{Nodes: direct, Msg: m})
	}
}

// gossip passes on what was observed since the last time: one message for many
// reports costs each controller far less than one for each.
func (c *Core) gossip() {
	for part := range parts(c.observed) {
		c.broadcast(PeerMsg{Observations: part})
	}
	c.observed = nil
}

func (c *Core) peerIn(in PeerIn) {
	m, from := in.Msg, in.Node
	if m.To != "" && m.To != c.cfg.Node {
		c.sendPeer(m.To, m)
		return
	}
	if m.From != "" {
		from = m.From
	}
	if p := c.peers[from]; p != nil {
		p.seen = c.now.Steady
	}
	switch {
	case m.Observations != nil:
		for _, o := range m.Observations {
			c.observe(o)
		}
	case m.Accepted != nil:
		c.written(*m.Accepted)
	case m.Claims != nil:
		for _, k := range m.Claims {
			c.claimed(k)
		}
	case m.Start != nil:
		c.start(from, *m.Start)
	case m.Refusal != nil:
		c.refused(*m.Refusal)
	case m.Order != nil:
		c.order(*m.Order)
	case m.Fence != nil:
		c.fence(*m.Fence)
	case m.ReturnRequest != nil:
		c.returnRequested(*m.ReturnRequest)
	case m.Beat != nil:
		c.nodeBeatIn(from, *m.Beat)
	case m.Site != nil:
		c.siteNote(from, *m.Site)
	case m.Cancellations != nil:
		c.cancellationsIn(from, m.Cancellations)
	case m.Known != nil:
		c.acknowledgedIn(from, m.Known)
	}
}

// nodeBeat sends this node's sign of life, with the records of its teams every
// record interval.
func (c *Core) nodeBeat() {
	b := c.signOfLife()
	if c.every(&c.timers.share, recordInterval) {
		b.Records = c.ownRecords()
	}
	for id := range ordered(c.own) {
		if m := c.machines[id]; m != nil && m.Node == c.cfg.Node && m.Reported > c.beatAt {
			b.Heard, b.Seqs = append(b.Heard, id), append(b.Seqs, m.Seq)
		}
	}
	c.beatAt = c.now.Steady
	c.broadcast(PeerMsg{Beat: &b})
}

// signOfLife is what a beat says by whichever way it goes.
func (c *Core) signOfLife() NodeBeat {
	b := NodeBeat{Revision: c.revision, StoreOK: c.storeOK, Due: c.budget.due, Misses: c.missed(), Stamp: c.stamp()}
	b.Echoes, b.Owes = c.echoes()
	for _, other := range c.cfg.Peers {
		if !c.peers[other.Node].connected {
			b.Cut = append(b.Cut, other.Node)
		}
	}
	return b
}

// ownRecords are the records of the teams that this node is home of, by which it
// ranks from now on as the others do.
func (c *Core) ownRecords() map[string]fairness.Record {
	out := map[string]fairness.Record{}
	for _, t := range c.teams {
		if t.acting {
			t.ranked = t.record
			out[t.Name] = t.record
		}
	}
	return out
}

func (c *Core) nodeBeatIn(node string, b NodeBeat) {
	p := c.peers[node]
	if p == nil {
		return
	}
	p.revision = max(p.revision, b.Revision)
	p.stamp = b.Stamp
	c.echoed(p, &b)
	p.storeOK, p.due = b.StoreOK, b.Due
	p.misses, p.cut = b.Misses, b.Cut
	for name, r := range b.Records {
		if t := c.teamBy[name]; t != nil && !t.acting {
			t.record, t.ranked = r, r
		}
	}
	for i, id := range b.Heard {
		if m := c.machines[id]; m != nil {
			if m.Node == node && i < len(b.Seqs) {
				m.HeardSeq = max(m.HeardSeq, b.Seqs[i])
			}
			c.alive(m, false)
		}
	}
}
