package gateway

import (
	"cmp"
	"slices"
)

func compare[T cmp.Ordered](a, b T) int { return cmp.Compare(a, b) }

// offer hands a waiting job off, if it may go anywhere.
func (m *Machine) offer(j Job) {
	if _, away := m.records.Away[j.ID]; away || m.subject["epoch"] {
		return
	}
	to, _ := m.route(j)
	if to == "" {
		return
	}
	e := m.records.Last + 1
	t := Ticket{Origin: m.cfg.Site, Job: j.ID, Class: j.Class, Epoch: e, Path: append(slices.Clone(j.Path), m.cfg.Site), Body: j.Body}
	m.store("epoch", MakeAway{Job: j.ID, Away: Away{Epoch: e, To: to, Ticket: t}}, 0)
}

// tellAway says again what the receiver of a job has to know.
func (m *Machine) tellAway(job string, a Away) {
	kind := Offered
	if a.CancelAsked {
		kind = CancelAsked
	}
	m.send(Message{To: a.To, Kind: kind, Epoch: a.Epoch, Ticket: &a.Ticket})
}

// held finds the job that is away under an epoch.
func (m *Machine) held(e Epoch, to Site) (string, Away, bool) {
	for job, a := range m.records.Away {
		if a.Epoch == e && a.To == to {
			return job, a, true
		}
	}
	return "", Away{}, false
}

// decided takes the receiver's decision. After a stored refusal the job may run
// here again; after an acceptance only its end is waited for.
func (m *Machine) decided(msg Message) {
	job, a, ok := m.held(msg.Epoch, msg.From)
	switch {
	case !ok:
	case msg.Accepted:
		// It is asked again now and then, lest its end was lost.
		m.tries[awayKey(job)] = 0
		m.due[awayKey(job)] = m.now + seconds(m.cfg.RetryMaxS)
		if a.CancelAsked {
			m.due[awayKey(job)] = m.now + jitter(m.rng, seconds(m.cfg.RetryS))
		}
	default:
		if msg.Reason != busy {
			m.refused[refusal{job, msg.From}] = true
		}
		m.log("job was refused", "job", job, "by", msg.From, "why", msg.Reason)
		m.store(awayKey(job), TakeBack{Job: job, Epoch: msg.Epoch, Cancelled: a.CancelAsked}, 0)
	}
}

// ended takes the end of a job at the receiver, which is the one final answer. One
// that is no longer away is closed already, which the floor tells.
func (m *Machine) ended(msg Message) {
	if job, _, ok := m.held(msg.Epoch, msg.From); ok {
		m.store(awayKey(job), Finish{Job: job, Epoch: msg.Epoch, State: msg.State}, 0)
		return
	}
	if msg.Epoch <= m.floor(msg.From) {
		m.send(Message{To: msg.From, Kind: Closed})
	}
}

// floor is the epoch up to which all that was offered to a site is closed.
func (m *Machine) floor(to Site) Epoch {
	floor := m.records.Last
	for _, a := range m.records.Away {
		if a.To == to {
			floor = min(floor, a.Epoch-1)
		}
	}
	return floor
}

// back takes note that a job is at home again.
func (m *Machine) back(w TakeBack, req uint64) {
	to := m.records.Away[w.Job].To
	delete(m.records.Away, w.Job)
	m.drop(awayKey(w.Job))
	m.send(Message{To: to, Kind: Closed})
	if w.Cancelled {
		m.forgetRefusals(w.Job)
	}
	if w.Operator != "" {
		m.log("hand-off given up: the job may have run, or still run, elsewhere", "job", w.Job, "at", to,
			"operator", w.Operator, "why", w.Why)
		m.emit(Answer{Req: req, State: "given up"})
	}
}

// over takes note that a job that was away has its final state.
func (m *Machine) over(job, state string) {
	to := m.records.Away[job].To
	delete(m.records.Away, job)
	m.drop(awayKey(job))
	m.forgetRefusals(job)
	m.log("job ended elsewhere", "job", job, "at", to, "state", state)
	m.send(Message{To: to, Kind: Closed})
}

func (m *Machine) forgetRefusals(job string) {
	for r := range m.refused {
		if r.job == job {
			delete(m.refused, r)
		}
	}
}

// cancel notes a user's wish. The answer comes at once, 503 until the job has its
// one final state: the end of the job at its receiver, or the receiver's refusal.
func (m *Machine) cancel(in Cancel) {
	a, away := m.records.Away[in.Job]
	if !away {
		m.emit(Answer{Req: in.Req, Err: "job is not away"})
		return
	}
	m.emit(Answer{Req: in.Req})
	if !a.CancelAsked {
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
