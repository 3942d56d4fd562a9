package federation

import "slices"

// offerWaiting hands waiting jobs off as far as they may go anywhere. One epoch of
// a peer is given at a time; what may not go now is told of again.
func (m *Machine) offerWaiting() {
	for len(m.waiting) > 0 && m.anyEpochFree() {
		j := m.waiting[0]
		_, away := m.records.Away[j.ID]
		to, _ := m.route(j)
		if !away && to != "" && m.subject[epochOf(to)] {
			return // first things first
		}
		m.waiting = m.waiting[1:]
		if away || to == "" {
			continue
		}
		e := m.records.Last[to] + 1
		t := Ticket{Origin: m.cfg.Site, Job: j.ID, Class: j.Class, Epoch: e, To: to, Path: append(slices.Clone(j.Path), m.cfg.Site), Body: j.Body}
		m.store(epochOf(to), MakeAway{Job: j.ID, Away: Away{Epoch: e, To: to, Ticket: t}}, 0)
	}
}

func epochOf(to Site) string { return "epoch/" + string(to) }

// anyEpochFree tells whether some peer could be given a job now.
func (m *Machine) anyEpochFree() bool {
	return slices.ContainsFunc(m.cfg.Peers, func(p Peer) bool { return !m.subject[epochOf(p.Site)] })
}

func awayKey(job string) string { return "away/" + job }

// tellAway says again what the receiver of a job has to know. One that has told of
// its acceptance is only asked how the job is.
func (m *Machine) tellAway(job string) {
	a := m.records.Away[job]
	msg := Message{To: a.To, Kind: Offered, Epoch: a.Epoch}
	if a.CancelAsked {
		msg.Kind = CancelAsked
	} else if !a.Accepted {
		msg.Ticket = &a.Ticket
	}
	m.send(msg)
}

// held finds the job that is away under an epoch.
func (m *Machine) held(e Epoch, to Site) (string, Away, bool) {
	job := m.index.job[given{to, e}]
	a, ok := m.records.Away[job]
	return job, a, ok
}

// decided takes the receiver's decision. After a stored refusal the job may run
// here again; after an acceptance only its end is waited for.
func (m *Machine) decided(msg Message) {
	job, a, ok := m.held(msg.Epoch, msg.From)
	switch {
	case !ok:
	case msg.Accepted:
		m.accepted(job, a)
	case (a.Accepted || msg.Lost) && !a.CancelAsked && !m.cfg.class(a.Ticket.Class).Repeat:
		// It may have run there, which its class allows no repeat of: only its user
		// can end it. It used to be taken for a refusal like any other.
		m.peer(msg.From).agenda.set(item{a.Epoch, true}, m.now+seconds(m.cfg.RetryMaxS), 0)
		m.emit(Log{Text: "job was lost by the site that had it, and its class allows no repeat", Bad: true,
			Attrs: []any{"job", job, "by", msg.From}})
	default:
		if msg.Reason != busy {
			m.refused[refusal{job, msg.From}] = true
		}
		m.log("job was refused", "job", job, "by", msg.From, "why", msg.Reason, "may have run there", a.Accepted || msg.Lost)
		m.store(awayKey(job), TakeBack{Job: job, Epoch: msg.Epoch, Cancelled: a.CancelAsked}, 0)
	}
}

// accepted notes an acceptance. The job is asked for now and then, lest its end was
// lost.
func (m *Machine) accepted(job string, a Away) {
	m.peer(a.To).busy = 0
	next := seconds(m.cfg.RetryMaxS)
	if a.CancelAsked {
		next = jitter(m.rng, seconds(m.cfg.RetryS))
	}
	m.peer(a.To).agenda.set(item{a.Epoch, true}, m.now+next, 0)
	if !a.Accepted {
		m.store(awayKey(job), MarkTold{Job: job, Epoch: a.Epoch}, 0)
	}
}

// ended takes the end of a job at the receiver, which is the one final answer. One
// that is no longer away is closed already.
func (m *Machine) ended(msg Message) {
	if job, _, ok := m.held(msg.Epoch, msg.From); ok {
		m.store(awayKey(job), Finish{Job: job, Epoch: msg.Epoch, State: msg.State}, 0)
		return
	}
	if msg.Epoch <= m.records.Last[msg.From] {
		m.send(Message{To: msg.From, Kind: Closed, Epoch: msg.Epoch})
	}
}

// floor is the epoch up to which all that was offered to a site is closed.
func (m *Machine) floor(to Site) Epoch {
	if open := m.index.open[to]; len(open) > 0 {
		return open[0] - 1
	}
	return m.records.Last[to]
}

// back takes note that a job is at home again.
func (m *Machine) back(w TakeBack, req uint64) {
	a := m.dropAway(w.Job)
	to := a.To
	m.send(Message{To: to, Kind: Closed, Epoch: a.Epoch})
	if w.Cancelled {
		m.forgetRefusals(w.Job)
	}
	if w.Operator != "" {
		m.emit(Log{Text: "hand-off given up: the job may have run, or still run, elsewhere", Bad: true,
			Attrs: []any{"job", w.Job, "at", to, "operator", w.Operator, "why", w.Why}})
		m.emit(Answer{Req: req, State: "given up: the job may have run, or still run, at " + string(to)})
	}
}

// over takes note that a job that was away has its final state.
func (m *Machine) over(job, state string) {
	a := m.dropAway(job)
	m.forgetRefusals(job)
	m.log("job ended elsewhere", "job", job, "at", a.To, "state", state)
	m.send(Message{To: a.To, Kind: Closed, Epoch: a.Epoch})
}

func (m *Machine) forgetRefusals(job string) {
	for _, p := range m.cfg.Peers {
		delete(m.refused, refusal{job, p.Site})
	}
}

// cancel notes a user's wish. The answer comes at once, 503 until the job has its
// one final state: the end of the job at its receiver, or the receiver's refusal.
func (m *Machine) cancel(in Cancel) {
	a, away := m.records.Away[in.Job]
	m.emit(Answer{Req: in.Req})
	if away && !a.CancelAsked {
		m.store(awayKey(in.Job), MarkCancel{Job: in.Job, Epoch: a.Epoch}, 0)
	}
}

// giveUp takes a job back without its receiver's word.
func (m *Machine) giveUp(in GiveUp) {
	a, away := m.records.Away[in.Job]
	switch {
	case !away:
		m.emit(Answer{Req: in.Req, Err: "job is not away"})
	case in.Operator == "" || in.Why == "":
		m.emit(Answer{Req: in.Req, Err: "who gives it up, and why, must be said"})
	case !m.cfg.class(a.Ticket.Class).Repeat:
		m.emit(Answer{Req: in.Req, Err: "class " + a.Ticket.Class + " does not allow a repeat"})
	default:
		m.store(awayKey(in.Job), TakeBack{Job: in.Job, Epoch: a.Epoch, Cancelled: a.CancelAsked, Operator: in.Operator, Why: in.Why}, in.Req)
	}
}

// drain notes an operator's word on a site.
func (m *Machine) drain(in Drain) {
	if _, known := m.cfg.peer(in.Site); !known {
		m.emit(Answer{Req: in.Req, Err: string(in.Site) + " is no peer"})
		return
	}
	m.store("drain/"+string(in.Site), SetDrain{Site: in.Site, On: in.On}, in.Req)
}

func drainWord(on bool) string {
	if on {
		return "drained"
	}
	return "open"
}

// Job is the job that is away at a site under an epoch.
func (m *Machine) Job(at Site, e Epoch) (string, bool) {
	if !m.loaded {
		return "", false
	}
	job, _, ok := m.held(e, at)
	return job, ok
}
