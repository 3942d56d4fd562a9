package federation

import (
	"slices"
	"time"
)

// comparison is the state of comparing records with a peer. A site compares its records with
// those of each peer after its coordinator has started, before any hand-off with that peer. If
// the site's store was restored from an old backup, it lacks epochs that the site has assigned
// or decisions that it has made, and either could let a job run at two sites. Each site detects
// this on its own from the peer's view. The view carries the nonce of the request, so it is not
// older than the request. A site whose records are out of date suspends hand-offs with the peer,
// in both directions, until an operator confirms that nothing from the lost records is still
// running.
type comparison struct {
	// recordsCompared is set once the records agree.
	recordsCompared bool
	// nonce identifies the view requests of this coordinator run. viewRequestCount counts them,
	// and viewRequestDueAt is when the next one is due.
	nonce            uint64
	viewRequestCount int
	viewRequestDueAt time.Duration
	// suspendedReason says why hand-offs are suspended; it is empty if they are not.
	suspendedReason string
	// lastEpochAtPeer is the highest epoch of this site in the peer's records, if it is above the
	// last epoch in this site's own records; otherwise 0.
	lastEpochAtPeer Epoch
	// lostEpochs holds the epochs of the peer that this site has accepted, according to the
	// peer's view, although the acceptance is missing from this site's records.
	lostEpochs map[Epoch]bool
}

// Reasons for suspending hand-offs with a peer.
const (
	suspendedLostEpochs    = "it knows of hand-offs from here that are not in the records"
	suspendedLostDecisions = "it was told of acceptances here that are not in the records"
)

// requestView asks a peer for its view, repeatedly until the peer answers.
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
	peer.breaker.onAttempt(c.now, c.cfg)
	peer.viewRequestDueAt = c.now + jitter(c.rng, c.retryDelay(peer.viewRequestCount))
	peer.viewRequestCount++
	c.send(Message{To: peer.site, Kind: KindViewRequest, Nonce: peer.nonce})
}

// view returns what this site's records hold about hand-offs with a peer.
func (c *Coordinator) view(peer Site) *View {
	view := &View{
		LastEpoch:    c.records.LastEpochs[peer],
		Open:         slices.Clone(c.index.openEpochs[peer]),
		HighestEpoch: c.highestEpoch(peer),
	}
	for _, epoch := range view.Open {
		if c.records.Outgoing[c.index.outgoing[outgoingID{peer, epoch}]].Accepted {
			view.Accepted = append(view.Accepted, epoch)
		}
	}
	return view
}

// highestEpoch returns the highest epoch of an origin in this site's records.
func (c *Coordinator) highestEpoch(origin Site) Epoch {
	highest := c.records.LowWaterMarks[origin]
	if epochs := c.index.incoming[origin]; len(epochs) > 0 {
		highest = max(highest, epochs[len(epochs)-1])
	}
	return highest
}

// handleView compares the peer's view with the records of this site, and suspends hand-offs with
// the peer if these records are out of date.
func (c *Coordinator) handleView(msg Message) {
	peer := c.peer(msg.From)
	if msg.View == nil || msg.Nonce != peer.nonce || peer.recordsCompared || peer.suspendedReason != "" {
		return
	}
	clear(peer.lostEpochs)
	for _, epoch := range msg.View.Accepted {
		if c.isAcceptanceLost(IncomingID{msg.From, epoch}) {
			peer.lostEpochs[epoch] = true
		}
	}
	switch {
	case msg.View.HighestEpoch > c.records.LastEpochs[msg.From]:
		peer.lastEpochAtPeer = msg.View.HighestEpoch
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

// isAcceptanceLost reports whether an acceptance that was reported to the origin is missing from
// the records.
func (c *Coordinator) isAcceptanceLost(id IncomingID) bool {
	return !c.records.Incoming[id].Accepted && id.Epoch > c.records.LowWaterMarks[id.Origin]
}

// suspend suspends hand-offs with a peer until an operator resumes them with ResumeHandOffs.
func (c *Coordinator) suspend(peer *peerState, reason string) {
	peer.suspendedReason = reason
	c.logError("hand-offs suspended: this site's records are older than its peer's",
		"peer", peer.site,
		"reason", reason,
		"resume_with", "pepperlever gateway renew")
}

// handleResumeHandOffs resumes suspended hand-offs on an operator's instruction. From then on this
// site assigns epochs above those that the peer has seen, and refuses offers of lost epochs with
// reasonRecordLost.
func (c *Coordinator) handleResumeHandOffs(in ResumeHandOffs) {
	peer := c.peer(in.Site)
	switch {
	case peer.suspendedReason == "":
		c.answerError(in.Req, notSuspendedError{in.Site})
	case in.Operator == "" || in.Reason == "":
		c.answerError(in.Req, errResumeUnattributed)
	default:
		c.log("hand-offs resumed by operator",
			"peer", in.Site,
			"lost", len(peer.lostEpochs),
			"operator", in.Operator,
			"reason", in.Reason)
		lastEpoch := max(peer.lastEpochAtPeer, c.records.LastEpochs[in.Site])
		c.writeFor(in.Req, lastEpochSubject(in.Site), SetLastEpoch{Site: in.Site, Epoch: lastEpoch})
	}
}

// onHandOffsResumed ends the suspension and answers the operator after the last epoch has been
// stored.
func (c *Coordinator) onHandOffsResumed(w SetLastEpoch, req uint64) {
	c.records.LastEpochs[w.Site] = max(c.records.LastEpochs[w.Site], w.Epoch)
	peer := c.peer(w.Site)
	peer.suspendedReason, peer.recordsCompared, peer.lastEpochAtPeer = "", true, 0
	c.emit(Answer{Req: req, State: "renewed"})
}
