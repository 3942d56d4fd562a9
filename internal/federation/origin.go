package federation

import "slices"

// offerWaiting hands waiting jobs off as far as they may go anywhere. One epoch of
// a peer is given at a time; what may not go now is told of again.
func (m *Coordinator) offerWaiting() {
	for len(m.waiting) > 0 && m.anyPeerUnlocked() {
		j := m.waiting[0]
		_, away := m.records.Outgoing[j.ID]
		to, _ := m.route(j)
		if !away && to != "" && m.lockedSubjects[epochSubject(to)] {
			return // first things first
		}
		m.waiting = m.waiting[1:]
		if away || to == "" {
			continue
		}
		e := m.records.LastEpochs[to] + 1
		t := Ticket{Origin: m.cfg.Site, JobID: j.ID, Class: j.Class, Epoch: e, To: to, Path: append(slices.Clone(j.Path), m.cfg.Site), Body: j.Body}
		m.write(epochSubject(to), CreateOutgoing{JobID: j.ID, Outgoing: Outgoing{Epoch: e, To: to, Ticket: t}}, 0)
	}
}

func epochSubject(to Site) string { return "epoch/" + string(to) }

// anyPeerUnlocked tells whether some peer could be given a job now.
func (m *Coordinator) anyPeerUnlocked() bool {
	return slices.ContainsFunc(m.cfg.Peers, func(p Peer) bool { return !m.lockedSubjects[epochSubject(p.Site)] })
}

func outgoingSubject(job string) string { return "away/" + job }

// sendOutgoing says again what the receiver of a job has to know. One that has told of
// its acceptance is only asked how the job is.
func (m *Coordinator) sendOutgoing(job string) {
	a := m.records.Outgoing[job]
	msg := Message{To: a.To, Kind: KindOffer, Epoch: a.Epoch}
	if a.CancelRequested {
		msg.Kind = KindCancel
	} else if !a.Accepted {
		msg.Ticket = &a.Ticket
	}
	m.send(msg)
}

// findOutgoing finds the job that is away under an epoch.
func (m *Coordinator) findOutgoing(e Epoch, to Site) (string, Outgoing, bool) {
	job := m.index.outgoing[outgoingID{to, e}]
	a, ok := m.records.Outgoing[job]
	return job, a, ok
}

// handleDecision takes the receiver's decision. After a stored refusal the job may run
// here again; after an acceptance only its end is waited for.
func (m *Coordinator) handleDecision(msg Message) {
	job, a, ok := m.findOutgoing(msg.Epoch, msg.From)
	switch {
	case !ok:
	case msg.Accepted:
		m.handleAcceptance(job, a)
	case (a.Accepted || msg.RecordLost) && !a.CancelRequested && !m.cfg.class(a.Ticket.Class).AllowsRepeat:
		// It may have run there, which its class allows no repeat of: only its user
		// can end it. It used to be taken for a refusal like any other.
		m.peer(msg.From).retryQueue.schedule(retryKey{a.Epoch, true}, m.now+seconds(m.cfg.RetryMaxS), 0)
		m.emit(Log{Text: "job was lost by the site that had it, and its class allows no repeat", IsError: true,
			Attrs: []any{"job", job, "by", msg.From}})
	default:
		if msg.Reason != reasonBusy {
			m.rejected[rejectionKey{job, msg.From}] = true
		}
		m.log("job was refused", "job", job, "by", msg.From, "why", msg.Reason, "may have run there", a.Accepted || msg.RecordLost)
		m.write(outgoingSubject(job), RevertOutgoing{JobID: job, Epoch: msg.Epoch, Cancelled: a.CancelRequested}, 0)
	}
}

// handleAcceptance notes an acceptance. The job is asked for now and then, lest its end was
// lost.
func (m *Coordinator) handleAcceptance(job string, a Outgoing) {
	m.peer(a.To).backoff = 0
	next := seconds(m.cfg.RetryMaxS)
	if a.CancelRequested {
		next = jitter(m.rng, seconds(m.cfg.RetryS))
	}
	m.peer(a.To).retryQueue.schedule(retryKey{a.Epoch, true}, m.now+next, 0)
	if !a.Accepted {
		m.write(outgoingSubject(job), MarkAccepted{JobID: job, Epoch: a.Epoch}, 0)
	}
}

// handleResult takes the end of a job at the receiver, which is the one final answer. One
// that is no longer away is closed already.
func (m *Coordinator) handleResult(msg Message) {
	if job, _, ok := m.findOutgoing(msg.Epoch, msg.From); ok {
		m.write(outgoingSubject(job), FinishOutgoing{JobID: job, Epoch: msg.Epoch, FinalState: msg.State}, 0)
		return
	}
	if msg.Epoch <= m.records.LastEpochs[msg.From] {
		m.send(Message{To: msg.From, Kind: KindClosed, Epoch: msg.Epoch})
	}
}

// lowWaterMark is the epoch up to which all that was offered to a site is closed.
func (m *Coordinator) lowWaterMark(to Site) Epoch {
	if open := m.index.openEpochs[to]; len(open) > 0 {
		return open[0] - 1
	}
	return m.records.LastEpochs[to]
}

// onReverted takes note that a job is at home again.
func (m *Coordinator) onReverted(w RevertOutgoing, req uint64) {
	a := m.removeOutgoing(w.JobID)
	to := a.To
	m.send(Message{To: to, Kind: KindClosed, Epoch: a.Epoch})
	if w.Cancelled {
		m.clearRejections(w.JobID)
	}
	if w.Operator != "" {
		m.emit(Log{Text: "hand-off given up: the job may have run, or still run, elsewhere", IsError: true,
			Attrs: []any{"job", w.JobID, "at", to, "operator", w.Operator, "why", w.Reason}})
		m.emit(Answer{Req: req, State: "given up: the job may have run, or still run, at " + string(to)})
	}
}

// onFinished takes note that a job that was away has its final state.
func (m *Coordinator) onFinished(job, state string) {
	a := m.removeOutgoing(job)
	m.clearRejections(job)
	m.log("job ended elsewhere", "job", job, "at", a.To, "state", state)
	m.send(Message{To: a.To, Kind: KindClosed, Epoch: a.Epoch})
}

func (m *Coordinator) clearRejections(job string) {
	for _, p := range m.cfg.Peers {
		delete(m.rejected, rejectionKey{job, p.Site})
	}
}

// handleCancelRequested notes a user's wish. The answer comes at once, 503 until the job has its
// one final state: the end of the job at its receiver, or the receiver's refusal.
func (m *Coordinator) handleCancelRequested(in CancelRequested) {
	a, away := m.records.Outgoing[in.JobID]
	m.emit(Answer{Req: in.Req})
	if away && !a.CancelRequested {
		m.write(outgoingSubject(in.JobID), MarkCancelRequested{JobID: in.JobID, Epoch: a.Epoch}, 0)
	}
}

// handleGiveUp takes a job back without its receiver's word.
func (m *Coordinator) handleGiveUp(in GiveUp) {
	a, away := m.records.Outgoing[in.JobID]
	switch {
	case !away:
		m.emit(Answer{Req: in.Req, Error: "job is not away"})
	case in.Operator == "" || in.Reason == "":
		m.emit(Answer{Req: in.Req, Error: "who gives it up, and why, must be said"})
	case !m.cfg.class(a.Ticket.Class).AllowsRepeat:
		m.emit(Answer{Req: in.Req, Error: "class " + a.Ticket.Class + " does not allow a repeat"})
	default:
		m.write(outgoingSubject(in.JobID), RevertOutgoing{JobID: in.JobID, Epoch: a.Epoch, Cancelled: a.CancelRequested, Operator: in.Operator, Reason: in.Reason}, in.Req)
	}
}

// handleDrain notes an operator's word on a site.
func (m *Coordinator) handleDrain(in Drain) {
	if _, known := m.cfg.peer(in.Site); !known {
		m.emit(Answer{Req: in.Req, Error: string(in.Site) + " is no peer"})
		return
	}
	m.write("drain/"+string(in.Site), SetDrained{Site: in.Site, Drained: in.Drained}, in.Req)
}

func drainedText(on bool) string {
	if on {
		return "drained"
	}
	return "open"
}

// OutgoingJob is the job that is away at a site under an epoch.
func (m *Coordinator) OutgoingJob(at Site, e Epoch) (string, bool) {
	if !m.loaded {
		return "", false
	}
	job, _, ok := m.findOutgoing(e, at)
	return job, ok
}
