package federation

import "slices"

// Two sites compare their records before anything else passes between them, each
// time that a site's gateway starts. A state service that was restored from an old
// copy has forgotten epochs that it gave, or decisions that it made, and either
// would let a job run at two sites. Each finds out by itself, from what the other
// holds: the answer carries the nonce of this run, so it is no older than the
// question. A site that is behind stops handing off with that peer, in both
// directions, until an operator says that nothing of what it forgot still runs.

// meet asks a peer what it holds, again and again until it tells.
func (m *Machine) meet(to Site, p *peerState) {
	if p.met || p.stopped != "" || m.now < p.askAt || !p.breaker.allows(m.now) {
		return
	}
	if p.nonce == 0 {
		p.nonce = m.rng.Uint64() | 1
	}
	p.breaker.tried(m.now, m.cfg)
	p.asks++
	p.askAt = m.now + jitter(m.rng, m.pause(p.asks-1))
	m.send(Message{To: to, Kind: Asked, Nonce: p.nonce})
}

// view is what this site holds of its hand-offs with another one.
func (m *Machine) view(of Site) *View {
	v := &View{Last: m.records.Last[of], Open: slices.Clone(m.index.open[of]), Highest: m.highest(of)}
	for _, e := range v.Open {
		if m.records.Away[m.index.job[given{of, e}]].Accepted {
			v.Accepted = append(v.Accepted, e)
		}
	}
	return v
}

// highest is the highest epoch of an origin that is stored here.
func (m *Machine) highest(origin Site) Epoch {
	most := m.records.Floors[origin]
	if list := m.index.taken[origin]; len(list) > 0 {
		most = max(most, list[len(list)-1])
	}
	return most
}

// viewed compares what a peer holds with the records here.
func (m *Machine) viewed(msg Message) {
	p := m.peer(msg.From)
	if msg.View == nil || msg.Nonce != p.nonce || p.met || p.stopped != "" {
		return
	}
	v := msg.View
	clear(p.lost)
	for _, e := range v.Accepted {
		if h := (Hold{msg.From, e}); !m.records.Taken[h].Accepted && !(e <= m.records.Floors[msg.From]) {
			p.lost[e] = true
		}
	}
	switch {
	case v.Highest > m.records.Last[msg.From]:
		p.ahead = v.Highest
		m.stop(msg.From, "it knows of hand-offs from here that are not in the records")
	case len(p.lost) > 0:
		m.stop(msg.From, "it was told of acceptances here that are not in the records")
	default:
		p.met = true
		m.log("sites have compared their records", "peer", msg.From, "open there", len(v.Open), "open here", len(m.index.open[msg.From]))
	}
}

// stop ends hand-offs with a peer until an operator has looked.
func (m *Machine) stop(peer Site, why string) {
	m.peer(peer).stopped = why
	m.emit(Log{Text: "hand-offs are stopped: this site's state is older than its peer's", Bad: true,
		Attrs: []any{"peer", peer, "why", why, "then", "pepperlever gateway renew"}})
}

// renew goes on after a stop, by an operator's word: epochs beyond what the peer
// has seen are given from now on, and what was forgotten here is refused as lost.
func (m *Machine) renew(in Renew) {
	p := m.peer(in.Site)
	switch {
	case p.stopped == "":
		m.emit(Answer{Req: in.Req, Err: "hand-offs with " + string(in.Site) + " are not stopped"})
	case in.Operator == "" || in.Why == "":
		m.emit(Answer{Req: in.Req, Err: "who renews, and why, must be said"})
	default:
		m.log("hand-offs go on after a stop", "peer", in.Site, "lost", len(p.lost), "operator", in.Operator, "why", in.Why)
		m.store("last/"+string(in.Site), SetLast{Site: in.Site, Last: max(p.ahead, m.records.Last[in.Site])}, in.Req)
	}
}

// renewed takes note that a stop is over.
func (m *Machine) renewed(w SetLast, req uint64) {
	m.records.Last[w.Site] = max(m.records.Last[w.Site], w.Last)
	p := m.peer(w.Site)
	p.stopped, p.met, p.ahead = "", true, 0
	m.emit(Answer{Req: req, State: "renewed"})
}

// recordLost is the reason of a refusal of what was forgotten, closedBefore that of an
// epoch whose origin has closed it and forgotten that.
const (
	recordLost   = "its record was lost"
	closedBefore = "its origin has closed it before"
)
