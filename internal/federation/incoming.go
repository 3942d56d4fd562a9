package federation

// Reasons for refusing an offer. They are sent to the origin and, except for reasonClosed, stored.
const (
	reasonUnknownSite      = "site is unknown"
	reasonDrained          = "site is drained"
	reasonInvalidPath      = "path is a loop or too long"
	reasonClassNotAccepted = "class is not taken from there"
	reasonUserCancelled    = "its user has cancelled it"
	// reasonBusy is temporary: the origin may offer the job again later.
	reasonBusy = "as many are here as may be"
	// reasonRecordLost refuses an epoch whose record was lost when the store was restored.
	reasonRecordLost = "its record was lost"
	// reasonClosed refuses an epoch that its origin has already closed. The refusal has an effect
	// only if the origin has lost its record of closing the epoch.
	reasonClosed = "its origin has closed it before"
)

// handleOffer decides on an offer. A decision is final: a repeated offer gets the stored one. An
// undecided offer without a matching ticket is ignored.
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
	if ticket == nil || !c.ticketMatches(*ticket, id) {
		return
	}
	if reason := c.refusalReason(*ticket, in.InfeasibleReason); reason != "" {
		c.write(incomingSubject(id), DecideIncoming{ID: id, Incoming: Incoming{Reason: reason}, Ticket: *ticket})
		return
	}
	accepted := Incoming{Accepted: true, LocalID: localID(id), Path: ticket.Path}
	c.write(incomingSubject(id), DecideIncoming{ID: id, Incoming: accepted, Ticket: *ticket})
}

// ticketMatches reports whether a ticket hands off the given epoch to this site.
func (c *Coordinator) ticketMatches(ticket Ticket, id IncomingID) bool {
	path := ticket.Path
	return ticket.Epoch == id.Epoch && ticket.To == c.cfg.Site && len(path) > 0 && path[len(path)-1] == id.Origin
}

// refuse stores the refusal of an epoch.
func (c *Coordinator) refuse(id IncomingID, reason string) {
	c.write(incomingSubject(id), DecideIncoming{ID: id, Incoming: Incoming{Reason: reason}})
}

// isDecided reports whether an epoch has a stored decision or is closed.
func (c *Coordinator) isDecided(id IncomingID) bool {
	_, decided := c.records.Incoming[id]
	return decided || id.Epoch <= c.records.LowWaterMarks[id.Origin]
}

// sendDecision sends the origin the stored decision on an epoch, or the final state of its job
// once the job has ended. If the decision was deleted because the epoch is closed, it sends a
// refusal with reasonClosed.
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

// handleCancelMessage cancels an epoch. If it is undecided, it is refused, so that an offer that
// arrives later is not accepted. If it was accepted and still runs, the local job is cancelled,
// and its final state is reported once it has ended.
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

// handleLocalJobEnded stores the final state of an accepted job. Once stored, the state is
// reported to the origin repeatedly until the origin closes the epoch.
func (c *Coordinator) handleLocalJobEnded(in LocalJobEnded) {
	id, found := c.index.byLocalID[in.LocalID]
	if found && c.records.Incoming[id].FinalState == "" {
		c.write(incomingSubject(id), FinishIncoming{ID: id, FinalState: in.FinalState})
	}
}
