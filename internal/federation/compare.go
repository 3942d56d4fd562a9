package federation

import (
	"slices"
	"time"
)

// comparison is how far two sites have come in comparing their records, which they do before
// anything else passes between them, each time that a site's coordinator starts. A store that
// was restored from an old copy has forgotten epochs that it gave, or decisions that it made,
// and either would let a job run at two sites. Each finds out by itself, from what the other
// holds: the answer carries the nonce of this run, so it is no older than the request. A site
// that is behind suspends hand-offs with that peer, in both directions, until an operator
// says that nothing of what it forgot still runs.
type comparison struct {
	// recordsCompared is set once the records agree.
	recordsCompared bool
	// nonce marks this run's requests for the peer's view, viewRequests counts them.
	nonce            uint64
	viewRequests     int
	viewRequestDueAt time.Duration
	// suspendedReason tells why there are no hand-offs.
	suspendedReason string
	// peerLastEpoch is the highest epoch of this site that the peer knows and this site does
	// not, or 0.
	peerLastEpoch Epoch
	// lostEpochs are those that the peer was told were accepted here and that are not in the
	// records.
	lostEpochs map[Epoch]bool
}

// Reasons for which hand-offs with a peer are suspended.
const (
	suspendedLostEpochs    = "it knows of hand-offs from here that are not in the records"
	suspendedLostDecisions = "it was told of acceptances here that are not in the records"
)

// requestView asks a peer what it holds, again and again until it tells.
func (c *Coordinator) requestView(peer *peerState) {
	if peer.recordsCompared || peer.suspendedReason != "" {
		return
	}
	if c.now < peer.viewRequestDueAt || !peer.breaker.allows(c.now) {
		return
	}
	if peer.nonce == 0 {
		peer.nonce = c.rng.Uint64() | 1
	}
	peer.breaker.onTry(c.now, c.cfg)
	peer.viewRequestDueAt = c.now + jitter(c.rng, c.retryDelay(peer.viewRequests))
	peer.viewRequests++
	c.send(Message{To: peer.site, Kind: KindViewRequest, Nonce: peer.nonce})
}

// view is what this site holds of its hand-offs with another one.
func (c *Coordinator) view(of Site) *View {
	view := &View{
		LastEpoch:    c.records.LastEpochs[of],
		Open:         slices.Clone(c.index.openEpochs[of]),
		HighestEpoch: c.highestEpoch(of),
	}
	for _, epoch := range view.Open {
		if c.records.Outgoing[c.index.outgoing[outgoingID{of, epoch}]].Accepted {
			view.Accepted = append(view.Accepted, epoch)
		}
	}
	return view
}

// highestEpoch is the highest epoch of an origin that is stored here.
func (c *Coordinator) highestEpoch(origin Site) Epoch {
	highest := c.records.LowWaterMarks[origin]
	if epochs := c.index.incoming[origin]; len(epochs) > 0 {
		highest = max(highest, epochs[len(epochs)-1])
	}
	return highest
}

// handleView compares what a peer holds with the records here.
func (c *Coordinator) handleView(msg Message) {
	peer := c.peer(msg.From)
	if msg.View == nil || msg.Nonce != peer.nonce || peer.recordsCompared || peer.suspendedReason != "" {
		return
	}
	clear(peer.lostEpochs)
	for _, epoch := range msg.View.Accepted {
		if c.hasLost(IncomingID{msg.From, epoch}) {
			peer.lostEpochs[epoch] = true
		}
	}
	switch {
	case msg.View.HighestEpoch > c.records.LastEpochs[msg.From]:
		peer.peerLastEpoch = msg.View.HighestEpoch
		c.suspend(peer, suspendedLostEpochs)
	case len(peer.lostEpochs) > 0:
		c.suspend(peer, suspendedLostDecisions)
	default:
		peer.recordsCompared = true
		c.log("records compared with peer",
			"peer", msg.From,
			"open_there", len(msg.View.Open),
			"open_here", len(c.index.openEpochs[msg.From]))
	}
}

// hasLost tells whether an acceptance that the origin was told of is not in the records.
func (c *Coordinator) hasLost(id IncomingID) bool {
	return !c.records.Incoming[id].Accepted && id.Epoch > c.records.LowWaterMarks[id.Origin]
}

// suspend ends hand-offs with a peer until an operator has looked.
func (c *Coordinator) suspend(peer *peerState, reason string) {
	peer.suspendedReason = reason
	c.logError("hand-offs suspended: this site's records are older than its peer's",
		"peer", peer.site,
		"reason", reason,
		"resume_with", "pepperlever gateway renew")
}

// handleRenew goes on after a suspension, on an operator's instruction: epochs beyond what the
// peer has seen are given from now on, and what was forgotten here is refused as lost.
func (c *Coordinator) handleRenew(in Renew) {
	peer := c.peer(in.Site)
	switch {
	case peer.suspendedReason == "":
		c.answerError(in.Req, notSuspendedError{in.Site})
	case in.Operator == "" || in.Reason == "":
		c.answerError(in.Req, errRenewUnsigned)
	default:
		c.log("hand-offs resumed by operator",
			"peer", in.Site,
			"lost", len(peer.lostEpochs),
			"operator", in.Operator,
			"reason", in.Reason)
		last := max(peer.peerLastEpoch, c.records.LastEpochs[in.Site])
		c.writeFor(in.Req, lastEpochSubject(in.Site), SetLastEpoch{Site: in.Site, Epoch: last})
	}
}

// onRenewed notes that a suspension is over.
func (c *Coordinator) onRenewed(w SetLastEpoch, req uint64) {
	c.records.LastEpochs[w.Site] = max(c.records.LastEpochs[w.Site], w.Epoch)
	peer := c.peer(w.Site)
	peer.suspendedReason, peer.recordsCompared, peer.peerLastEpoch = "", true, 0
	c.emit(Answer{Req: req, State: "renewed"})
}
