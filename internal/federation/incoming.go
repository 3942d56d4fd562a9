package federation

// Reasons of refusals. They are stored and sent to the origin.
const (
	reasonUnknownSite   = "site is unknown"
	reasonDrained       = "site is drained"
	reasonBadPath       = "path is a loop or too long"
	reasonClassNotTaken = "class is not taken from there"
	reasonUserCancelled = "its user has cancelled it"
	// reasonBusy may pass.
	reasonBusy = "as many are here as may be"
	// reasonRecordLost refuses what was forgotten here.
	reasonRecordLost = "its record was lost"
	// reasonClosed refuses an epoch whose origin has closed it and forgotten that.
	reasonClosed = "its origin has closed it before"
)

// handleOffer decides on an offer, once and for good.
func (c *Coordinator) handleOffer(in MessageReceived) {
	id := IncomingID{in.Message.From, in.Message.Epoch}
	if c.isDecided(id) {
		c.sendDecision(id)
		return
	}
	if c.peer(id.Origin).lostEpochs[id.Epoch] {
		c.refuse(id, reasonRecordLost)
		return
	}
	ticket := in.Message.Ticket
	if ticket == nil || !c.isFor(*ticket, id) {
		return
	}
	if reason := c.rejectionReason(*ticket, in.Infeasible); reason != "" {
		c.write(incomingSubject(id), DecideIncoming{ID: id, Incoming: Incoming{Reason: reason}, Ticket: *ticket})
		return
	}
	accepted := Incoming{Accepted: true, LocalID: localID(id), Path: ticket.Path}
	c.write(incomingSubject(id), DecideIncoming{ID: id, Incoming: accepted, Ticket: *ticket})
}

// isFor tells whether a ticket hands an epoch to this site.
func (c *Coordinator) isFor(ticket Ticket, id IncomingID) bool {
	path := ticket.Path
	return ticket.Epoch == id.Epoch && ticket.To == c.cfg.Site && len(path) > 0 && path[len(path)-1] == id.Origin
}

// refuse stores the refusal of an epoch.
func (c *Coordinator) refuse(id IncomingID, reason string) {
	c.write(incomingSubject(id), DecideIncoming{ID: id, Incoming: Incoming{Reason: reason}})
}

// isDecided tells whether an epoch is decided or closed.
func (c *Coordinator) isDecided(id IncomingID) bool {
	_, decided := c.records.Incoming[id]
	return decided || id.Epoch <= c.records.LowWaterMarks[id.Origin]
}

// sendDecision answers with what is stored. Of a closed epoch nothing is: only an
// origin that has forgotten that it closed it minds.
func (c *Coordinator) sendDecision(id IncomingID) {
	msg := Message{To: id.Origin, Kind: KindDecision, Epoch: id.Epoch}
	incoming, found := c.records.Incoming[id]
	switch {
	case !found:
		msg.Reason, msg.RecordLost = reasonClosed, true
	case incoming.FinalState != "":
		msg.Kind, msg.State = KindResult, incoming.FinalState
	default:
		msg.Accepted, msg.Reason = incoming.Accepted, incoming.Reason
		msg.RecordLost = incoming.Reason == reasonRecordLost
		if incoming.Reason == reasonBusy {
			msg.Backoff = seconds(c.cfg.RetryS)
		}
	}
	c.send(msg)
}

// handleCancelMessage ends an epoch: one that is not decided is refused, so that no late
// offer of it is accepted; an accepted job is cancelled here, and its end is told.
func (c *Coordinator) handleCancelMessage(msg Message) {
	id := IncomingID{msg.From, msg.Epoch}
	if !c.isDecided(id) {
		c.refuse(id, reasonUserCancelled)
		return
	}
	if incoming := c.records.Incoming[id]; incoming.isRunning() {
		c.emit(CancelLocal{incoming.LocalID})
	}
	c.sendDecision(id)
}

// handleLocalJobEnded notes the end of an accepted job, to be told until its origin has
// stored it.
func (c *Coordinator) handleLocalJobEnded(in LocalJobEnded) {
	id, found := c.index.byLocalID[in.LocalID]
	if found && c.records.Incoming[id].FinalState == "" {
		c.write(incomingSubject(id), FinishIncoming{ID: id, FinalState: in.FinalState})
	}
}
