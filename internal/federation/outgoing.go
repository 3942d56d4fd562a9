package federation

import "slices"

// offerWaiting hands off pending jobs for which there is an eligible site. Only one epoch per
// peer is assigned at a time. Jobs without an eligible site are dropped from the list; the next
// JobsWaiting lists them again.
func (c *Coordinator) offerWaiting() {
	for len(c.waiting) > 0 && c.anyPeerUnlocked() {
		job := c.waiting[0]
		_, outgoing := c.records.Outgoing[job.ID]
		to, _ := c.route(job)
		offered := !outgoing && to != ""
		if offered && c.writes.locked[epochSubject(to)] {
			return // stays first in the list until the pending epoch is stored
		}
		c.waiting = c.waiting[1:]
		if offered {
			c.offer(job, to)
		}
	}
}

// offer hands off a job to a site under the next epoch.
func (c *Coordinator) offer(job WaitingJob, to Site) {
	epoch := c.records.LastEpochs[to] + 1
	ticket := Ticket{
		Origin: c.cfg.Site,
		JobID:  job.ID,
		Class:  job.Class,
		Epoch:  epoch,
		To:     to,
		Path:   c.pathIncludingSelf(job),
		Body:   job.Body,
	}
	outgoing := Outgoing{Epoch: epoch, To: to, Ticket: ticket}
	c.write(epochSubject(to), CreateOutgoing{JobID: job.ID, Outgoing: outgoing})
}

// pathIncludingSelf returns the sites that a job came through, followed by this site.
func (c *Coordinator) pathIncludingSelf(job WaitingJob) []Site {
	return append(slices.Clone(job.Path), c.cfg.Site)
}

// anyPeerUnlocked reports whether there is a peer without a pending epoch assignment.
func (c *Coordinator) anyPeerUnlocked() bool {
	return slices.ContainsFunc(c.cfg.Peers, func(p Peer) bool { return !c.writes.locked[epochSubject(p.Site)] })
}

// onOutgoingCreated schedules the offer of a job after its hand-off has been stored.
func (c *Coordinator) onOutgoingCreated(w CreateOutgoing) {
	c.records.LastEpochs[w.Outgoing.To] = w.Outgoing.Epoch
	c.addOutgoing(w.JobID, w.Outgoing)
	c.log("job handed off", "job", w.JobID, "to", w.Outgoing.To, "epoch", w.Outgoing.Epoch)
	c.scheduleNow(w.Outgoing.To, retryKey{w.Outgoing.Epoch, true})
}

// sendOutgoing sends the receiver of a job an offer or a cancellation. After the receiver has
// reported its acceptance, the offer carries no ticket and only asks for the job's state.
func (c *Coordinator) sendOutgoing(job string) {
	outgoing := c.records.Outgoing[job]
	msg := Message{To: outgoing.To, Kind: KindOffer, Epoch: outgoing.Epoch}
	if outgoing.CancelRequested {
		msg.Kind = KindCancel
	} else if !outgoing.Accepted {
		msg.Ticket = &outgoing.Ticket
	}
	c.send(msg)
}

// findOutgoing looks up the job that is outgoing under an epoch.
func (c *Coordinator) findOutgoing(epoch Epoch, to Site) (job string, outgoing Outgoing, found bool) {
	job = c.index.outgoing[outgoingID{to, epoch}]
	outgoing, found = c.records.Outgoing[job]
	return job, outgoing, found
}

// OutgoingJob returns the job that was handed off to a site under an epoch.
func (c *Coordinator) OutgoingJob(at Site, epoch Epoch) (job string, found bool) {
	if !c.loaded {
		return "", false
	}
	job, _, found = c.findOutgoing(epoch, at)
	return job, found
}

// handleDecision processes the receiver's decision. After an acceptance this site only waits for
// the job's final state. After a refusal the job may run here again. If the refusal does not prove
// that the job never ran there, this also requires that its class allows a repeat; without that,
// the hand-off stays open until the user cancels the job.
func (c *Coordinator) handleDecision(msg Message) {
	job, outgoing, found := c.findOutgoing(msg.Epoch, msg.From)
	if !found {
		return
	}
	if msg.Accepted {
		c.onAccepted(job, outgoing)
		return
	}
	mayHaveRun := outgoing.Accepted || msg.RecordLost
	if mayHaveRun && !outgoing.CancelRequested && !c.cfg.class(outgoing.Ticket.Class).AllowsRepeat {
		c.onRecordLost(job, outgoing)
		return
	}
	if msg.Reason != reasonBusy {
		c.refusals[refusalKey{job, msg.From}] = true
	}
	c.log("job refused by peer", "job", job, "peer", msg.From, "reason", msg.Reason, "may_have_run", mayHaveRun)
	c.write(outgoingSubject(job), RevertOutgoing{JobID: job, Epoch: msg.Epoch, Cancelled: outgoing.CancelRequested})
}

// onAccepted records an acceptance, resets the peer's backoff and schedules the next message about
// the job: a query of its state, or a cancellation if its user has asked for one. The message is
// repeated in case the result is lost.
func (c *Coordinator) onAccepted(job string, outgoing Outgoing) {
	peer := c.peer(outgoing.To)
	peer.backoff = 0
	delay := seconds(c.cfg.RetryMaxS)
	if outgoing.CancelRequested {
		delay = jitter(c.rng, seconds(c.cfg.RetryS))
	}
	peer.retries.schedule(retryKey{outgoing.Epoch, true}, c.now+delay, 0)
	if !outgoing.Accepted {
		c.write(outgoingSubject(job), MarkAccepted{JobID: job, Epoch: outgoing.Epoch})
	}
}

// onRecordLost keeps waiting for a job whose record the receiver has lost. The job may have run
// there and its class does not allow a repeat, so the hand-off stays open until its user cancels
// the job.
func (c *Coordinator) onRecordLost(job string, outgoing Outgoing) {
	retryAt := c.now + seconds(c.cfg.RetryMaxS)
	c.peer(outgoing.To).retries.schedule(retryKey{outgoing.Epoch, true}, retryAt, 0)
	c.logError("record of job lost by peer, and its class does not allow a repeat", "job", job, "peer", outgoing.To)
}

// handleResult stores the final state that the receiver reports for a job. If no job is outgoing
// under the epoch any more, the epoch is already closed, and the receiver is notified again.
func (c *Coordinator) handleResult(msg Message) {
	if !c.finishOutgoing(msg) && msg.Epoch <= c.records.LastEpochs[msg.From] {
		c.sendClosed(msg.From, msg.Epoch)
	}
}

// finishOutgoing stores the final state in a result, and reports whether a job is outgoing under its epoch.
func (c *Coordinator) finishOutgoing(result Message) (found bool) {
	job, _, found := c.findOutgoing(result.Epoch, result.From)
	if found {
		c.write(outgoingSubject(job), FinishOutgoing{JobID: job, Epoch: result.Epoch, FinalState: result.State})
	}
	return found
}

// sendClosed notifies a receiver that the outcome of an epoch is stored.
func (c *Coordinator) sendClosed(to Site, epoch Epoch) {
	c.send(Message{To: to, Kind: KindClosed, Epoch: epoch})
}

// onReverted removes a reverted hand-off and notifies the receiver. The job may run here again,
// unless it is cancelled. If an operator has given up the hand-off, the operator is answered.
func (c *Coordinator) onReverted(w RevertOutgoing, req uint64) {
	outgoing := c.removeOutgoing(w.JobID)
	c.sendClosed(outgoing.To, outgoing.Epoch)
	if w.Cancelled {
		c.clearRefusals(w.JobID)
	}
	if w.Operator == "" {
		return
	}
	c.logError("hand-off given up: the job may have run or may still be running at the peer",
		"job", w.JobID,
		"peer", outgoing.To,
		"operator", w.Operator,
		"reason", w.Reason)
	c.emit(Answer{Req: req, State: "given up: the job may have run, or still run, at " + string(outgoing.To)})
}

// onFinished removes the hand-off of a job that has reached its final state.
func (c *Coordinator) onFinished(w FinishOutgoing) {
	outgoing := c.removeOutgoing(w.JobID)
	c.clearRefusals(w.JobID)
	c.log("job ended at peer", "job", w.JobID, "peer", outgoing.To, "state", w.FinalState)
	c.sendClosed(outgoing.To, outgoing.Epoch)
}

// clearRefusals removes the recorded refusals of a job.
func (c *Coordinator) clearRefusals(job string) {
	for _, peer := range c.cfg.Peers {
		delete(c.refusals, refusalKey{job, peer.Site})
	}
}

// handleCancelRequested stores a user's request to cancel an outgoing job. The request is answered
// immediately, without an outcome. The final state of the job is either the result reported by the
// receiver or, if the receiver refuses the job, cancelled.
func (c *Coordinator) handleCancelRequested(in CancelRequested) {
	c.emit(Answer{Req: in.Req})
	outgoing, found := c.records.Outgoing[in.JobID]
	if found && !outgoing.CancelRequested {
		c.write(outgoingSubject(in.JobID), MarkCancelRequested{JobID: in.JobID, Epoch: outgoing.Epoch})
	}
}
