package federation

import "slices"

// offerWaiting hands waiting jobs off as far as they may go anywhere. One epoch of
// a peer is given at a time; jobs that may not go now are listed again later.
func (c *Coordinator) offerWaiting() {
	for len(c.waiting) > 0 && c.anyPeerUnlocked() {
		job := c.waiting[0]
		_, outgoing := c.records.Outgoing[job.ID]
		to, _ := c.route(job)
		offered := !outgoing && to != ""
		if offered && c.writes.locked[epochSubject(to)] {
			return // it is the first to go there
		}
		c.waiting = c.waiting[1:]
		if offered {
			c.offer(job, to)
		}
	}
}

// offer gives a job to a site, under the next epoch.
func (c *Coordinator) offer(job WaitingJob, to Site) {
	epoch := c.records.LastEpochs[to] + 1
	ticket := Ticket{
		Origin: c.cfg.Site,
		JobID:  job.ID,
		Class:  job.Class,
		Epoch:  epoch,
		To:     to,
		Path:   c.pathFromHere(job),
		Body:   job.Body,
	}
	outgoing := Outgoing{Epoch: epoch, To: to, Ticket: ticket}
	c.write(epochSubject(to), CreateOutgoing{JobID: job.ID, Outgoing: outgoing})
}

// pathFromHere lists the sites that a job has come through, with this one.
func (c *Coordinator) pathFromHere(job WaitingJob) []Site {
	return append(slices.Clone(job.Path), c.cfg.Site)
}

// anyPeerUnlocked tells whether some peer could be given a job now.
func (c *Coordinator) anyPeerUnlocked() bool {
	return slices.ContainsFunc(c.cfg.Peers, func(p Peer) bool { return !c.writes.locked[epochSubject(p.Site)] })
}

// onOutgoingCreated offers a job to its receiver.
func (c *Coordinator) onOutgoingCreated(w CreateOutgoing) {
	c.records.LastEpochs[w.Outgoing.To] = w.Outgoing.Epoch
	c.addOutgoing(w.JobID, w.Outgoing)
	c.log("job handed off", "job", w.JobID, "to", w.Outgoing.To, "epoch", w.Outgoing.Epoch)
	c.scheduleNow(w.Outgoing.To, retryKey{w.Outgoing.Epoch, true})
}

// sendOutgoing tells the receiver of a job what it has to know. One that has told of
// its acceptance is only asked how the job is.
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

// findOutgoing finds the job that is outgoing under an epoch.
func (c *Coordinator) findOutgoing(epoch Epoch, to Site) (job string, outgoing Outgoing, found bool) {
	job = c.index.outgoing[outgoingID{to, epoch}]
	outgoing, found = c.records.Outgoing[job]
	return job, outgoing, found
}

// OutgoingJob is the job that is at a site under an epoch.
func (c *Coordinator) OutgoingJob(at Site, epoch Epoch) (job string, found bool) {
	if !c.loaded {
		return "", false
	}
	job, _, found = c.findOutgoing(epoch, at)
	return job, found
}

// handleDecision takes the receiver's decision. After a stored refusal the job may run
// here again; after an acceptance only its end is waited for.
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
		c.onLost(job, outgoing)
		return
	}
	if msg.Reason != reasonBusy {
		c.rejected[rejectionKey{job, msg.From}] = true
	}
	c.log("job refused by peer", "job", job, "peer", msg.From, "reason", msg.Reason, "may_have_run", mayHaveRun)
	c.write(outgoingSubject(job), RevertOutgoing{JobID: job, Epoch: msg.Epoch, Cancelled: outgoing.CancelRequested})
}

// onAccepted notes an acceptance. The job is asked for now and then, lest its end was
// lost.
func (c *Coordinator) onAccepted(job string, outgoing Outgoing) {
	peer := c.peer(outgoing.To)
	peer.backoff = 0
	pause := seconds(c.cfg.RetryMaxS)
	if outgoing.CancelRequested {
		pause = jitter(c.rng, seconds(c.cfg.RetryS))
	}
	peer.retries.schedule(retryKey{outgoing.Epoch, true}, c.now+pause, 0)
	if !outgoing.Accepted {
		c.write(outgoingSubject(job), MarkAccepted{JobID: job, Epoch: outgoing.Epoch})
	}
}

// onLost goes on waiting for a job that its receiver has lost. It may have run there, and its
// class allows no repeat: only its user can end it.
func (c *Coordinator) onLost(job string, outgoing Outgoing) {
	again := c.now + seconds(c.cfg.RetryMaxS)
	c.peer(outgoing.To).retries.schedule(retryKey{outgoing.Epoch, true}, again, 0)
	c.logError("job was lost by the site that had it, and its class allows no repeat", "job", job, "peer", outgoing.To)
}

// handleResult takes the end of a job at the receiver, which is the one final answer. One
// that is no longer outgoing is closed already.
func (c *Coordinator) handleResult(msg Message) {
	if job, _, found := c.findOutgoing(msg.Epoch, msg.From); found {
		c.write(outgoingSubject(job), FinishOutgoing{JobID: job, Epoch: msg.Epoch, FinalState: msg.State})
		return
	}
	if msg.Epoch <= c.records.LastEpochs[msg.From] {
		c.sendClosed(msg.From, msg.Epoch)
	}
}

// sendClosed tells a receiver that what became of an epoch is stored.
func (c *Coordinator) sendClosed(to Site, epoch Epoch) {
	c.send(Message{To: to, Kind: KindClosed, Epoch: epoch})
}

// onReverted notes that a job may run here again.
func (c *Coordinator) onReverted(w RevertOutgoing, req uint64) {
	outgoing := c.removeOutgoing(w.JobID)
	c.sendClosed(outgoing.To, outgoing.Epoch)
	if w.Cancelled {
		c.clearRejections(w.JobID)
	}
	if w.Operator == "" {
		return
	}
	c.logError("hand-off given up: the job may have run, or still run, elsewhere",
		"job", w.JobID,
		"peer", outgoing.To,
		"operator", w.Operator,
		"reason", w.Reason)
	c.emit(Answer{Req: req, State: "given up: the job may have run, or still run, at " + string(outgoing.To)})
}

// onFinished notes that an outgoing job has its final state.
func (c *Coordinator) onFinished(w FinishOutgoing) {
	outgoing := c.removeOutgoing(w.JobID)
	c.clearRejections(w.JobID)
	c.log("job ended at peer", "job", w.JobID, "peer", outgoing.To, "state", w.FinalState)
	c.sendClosed(outgoing.To, outgoing.Epoch)
}

// clearRejections forgets which sites have refused a job.
func (c *Coordinator) clearRejections(job string) {
	for _, peer := range c.cfg.Peers {
		delete(c.rejected, rejectionKey{job, peer.Site})
	}
}

// handleCancelRequested notes a user's request. The answer comes at once, 503 until the job has its
// one final state: the end of the job at its receiver, or the receiver's refusal.
func (c *Coordinator) handleCancelRequested(in CancelRequested) {
	c.emit(Answer{Req: in.Req})
	outgoing, found := c.records.Outgoing[in.JobID]
	if found && !outgoing.CancelRequested {
		c.write(outgoingSubject(in.JobID), MarkCancelRequested{JobID: in.JobID, Epoch: outgoing.Epoch})
	}
}
