package federation

import "slices"

// Two sites compare their records before anything else passes between them, each
// time that a site's gateway starts. A state service that was restored from an old
// copy has forgotten epochs that it gave, or decisions that it made, and either
// would let a job run at two sites. Each finds out by itself, from what the other
// holds: the answer carries the nonce of this run, so it is no older than the
// question. A site that is behind stops handing off with that peer, in both
// directions, until an operator says that nothing of what it forgot still runs.

// requestView asks a peer what it holds, again and again until it tells.
func (m *Coordinator) requestView(to Site, p *peerState) {
	if p.recordsCompared || p.suspendedReason != "" || m.now < p.viewRequestDueAt || !p.breaker.allows(m.now) {
		return
	}
	if p.nonce == 0 {
		p.nonce = m.rng.Uint64() | 1
	}
	p.breaker.onTry(m.now, m.cfg)
	p.viewRequests++
	p.viewRequestDueAt = m.now + jitter(m.rng, m.retryDelay(p.viewRequests-1))
	m.send(Message{To: to, Kind: KindViewRequest, Nonce: p.nonce})
}

// view is what this site holds of its hand-offs with another one.
func (m *Coordinator) view(of Site) *View {
	v := &View{LastEpoch: m.records.LastEpochs[of], Open: slices.Clone(m.index.openEpochs[of]), HighestEpoch: m.highestEpoch(of)}
	for _, e := range v.Open {
		if m.records.Outgoing[m.index.outgoing[outgoingID{of, e}]].Accepted {
			v.Accepted = append(v.Accepted, e)
		}
	}
	return v
}

// highestEpoch is the highest epoch of an origin that is stored here.
func (m *Coordinator) highestEpoch(origin Site) Epoch {
	most := m.records.LowWaterMarks[origin]
	if list := m.index.incoming[origin]; len(list) > 0 {
		most = max(most, list[len(list)-1])
	}
	return most
}

// handleView compares what a peer holds with the records here.
func (m *Coordinator) handleView(msg Message) {
	p := m.peer(msg.From)
	if msg.View == nil || msg.Nonce != p.nonce || p.recordsCompared || p.suspendedReason != "" {
		return
	}
	v := msg.View
	clear(p.lostEpochs)
	for _, e := range v.Accepted {
		if h := (IncomingID{msg.From, e}); !m.records.Incoming[h].Accepted && !(e <= m.records.LowWaterMarks[msg.From]) {
			p.lostEpochs[e] = true
		}
	}
	switch {
	case v.HighestEpoch > m.records.LastEpochs[msg.From]:
		p.peerLastEpoch = v.HighestEpoch
		m.suspend(msg.From, "it knows of hand-offs from here that are not in the records")
	case len(p.lostEpochs) > 0:
		m.suspend(msg.From, "it was told of acceptances here that are not in the records")
	default:
		p.recordsCompared = true
		m.log("sites have compared their records", "peer", msg.From, "open there", len(v.Open), "open here", len(m.index.openEpochs[msg.From]))
	}
}

// suspend ends hand-offs with a peer until an operator has looked.
func (m *Coordinator) suspend(peer Site, why string) {
	m.peer(peer).suspendedReason = why
	m.emit(Log{Text: "hand-offs are stopped: this site's state is older than its peer's", IsError: true,
		Attrs: []any{"peer", peer, "why", why, "then", "pepperlever gateway renew"}})
}

// handleRenew goes on after a stop, by an operator's word: epochs beyond what the peer
// has seen are given from now on, and what was forgotten here is refused as lost.
func (m *Coordinator) handleRenew(in Renew) {
	p := m.peer(in.Site)
	switch {
	case p.suspendedReason == "":
		m.emit(Answer{Req: in.Req, Error: "hand-offs with " + string(in.Site) + " are not stopped"})
	case in.Operator == "" || in.Reason == "":
		m.emit(Answer{Req: in.Req, Error: "who renews, and why, must be said"})
	default:
		m.log("hand-offs go on after a stop", "peer", in.Site, "lost", len(p.lostEpochs), "operator", in.Operator, "why", in.Reason)
		m.write("last/"+string(in.Site), SetLastEpoch{Site: in.Site, Epoch: max(p.peerLastEpoch, m.records.LastEpochs[in.Site])}, in.Req)
	}
}

// onRenewed takes note that a stop is over.
func (m *Coordinator) onRenewed(w SetLastEpoch, req uint64) {
	m.records.LastEpochs[w.Site] = max(m.records.LastEpochs[w.Site], w.Epoch)
	p := m.peer(w.Site)
	p.suspendedReason, p.recordsCompared, p.peerLastEpoch = "", true, 0
	m.emit(Answer{Req: req, State: "renewed"})
}

// reasonRecordLost is the reason of a refusal of what was forgotten, reasonClosed that of an
// epoch whose origin has closed it and forgotten that.
const (
	reasonRecordLost = "its record was lost"
	reasonClosed     = "its origin has closed it before"
)
