package federation

import (
	"fmt"
	"strconv"
	"strings"
)

// handleOffer decides on an offer, once and for good.
func (m *Coordinator) handleOffer(in MessageReceived) {
	msg, t := in.Message, in.Message.Ticket
	h := IncomingID{msg.From, msg.Epoch}
	switch {
	case m.isDecided(h):
		m.sendDecision(h)
		return
	case m.peer(msg.From).lostEpochs[msg.Epoch]:
		m.write(incomingSubject(h), DecideIncoming{ID: h, Incoming: Incoming{Reason: reasonRecordLost}}, 0)
		return
	case t == nil || t.Epoch != msg.Epoch || t.To != m.cfg.Site || len(t.Path) == 0 || t.Path[len(t.Path)-1] != msg.From:
		return
	}
	k := Incoming{Accepted: true, LocalID: localID(h), Path: t.Path}
	if why := m.rejectionReason(*t, in.Infeasible); why != "" {
		k = Incoming{Reason: why}
	}
	m.write(incomingSubject(h), DecideIncoming{ID: h, Incoming: k, Ticket: *t}, 0)
}

func incomingSubject(h IncomingID) string { return fmt.Sprintf("taken/%s/%d", h.Origin, h.Epoch) }

// LocalIDPrefix starts the ids of jobs that were taken from other sites.
const LocalIDPrefix = "req-gw-"

// localID is the id of an accepted job here. It names the epoch, so that a job that
// comes again under another one is another job.
func localID(h IncomingID) string { return fmt.Sprintf("%s%s-%d", LocalIDPrefix, h.Origin, h.Epoch) }

// ParseLocalID tells which epoch an id here stands for.
func ParseLocalID(id string) (IncomingID, bool) {
	rest, ours := strings.CutPrefix(id, LocalIDPrefix)
	cut := strings.LastIndexByte(rest, '-')
	if !ours || cut < 0 {
		return IncomingID{}, false
	}
	e, err := strconv.ParseUint(rest[cut+1:], 10, 64)
	return IncomingID{Site(rest[:cut]), Epoch(e)}, err == nil
}

// isDecided tells whether an epoch is decided or closed.
func (m *Coordinator) isDecided(h IncomingID) bool {
	_, decided := m.records.Incoming[h]
	return decided || h.Epoch <= m.records.LowWaterMarks[h.Origin]
}

// sendDecision answers with what is stored. Of a closed epoch nothing is: only an
// origin that has forgotten that it closed it minds.
func (m *Coordinator) sendDecision(h IncomingID) {
	k, ok := m.records.Incoming[h]
	msg := Message{To: h.Origin, Kind: KindDecision, Epoch: h.Epoch, Accepted: k.Accepted, Reason: k.Reason, RecordLost: k.Reason == reasonRecordLost}
	switch {
	case !ok:
		msg.Reason, msg.RecordLost = reasonClosed, true
	case k.Reason == reasonBusy:
		msg.Backoff = seconds(m.cfg.RetryS)
	case k.FinalState != "":
		msg = Message{To: h.Origin, Kind: KindResult, Epoch: h.Epoch, State: k.FinalState}
	}
	m.send(msg)
}

// handleCancelMessage ends an epoch: one that is not decided is refused, so that no late
// offer of it is accepted; an accepted job is cancelled here, and its end is told.
func (m *Coordinator) handleCancelMessage(msg Message) {
	h := IncomingID{msg.From, msg.Epoch}
	if !m.isDecided(h) {
		m.write(incomingSubject(h), DecideIncoming{ID: h, Incoming: Incoming{Reason: "its user has cancelled it"}}, 0)
		return
	}
	if k := m.records.Incoming[h]; k.Accepted && k.FinalState == "" {
		m.emit(CancelLocal{k.LocalID})
	}
	m.sendDecision(h)
}

// handleLocalJobEnded notes the end of an accepted job, to be told until its origin has
// stored it.
func (m *Coordinator) handleLocalJobEnded(in LocalJobEnded) {
	h, ok := m.index.byLocalID[in.LocalID]
	if ok && m.records.Incoming[h].FinalState == "" {
		m.write(incomingSubject(h), FinishIncoming{ID: h, FinalState: in.FinalState}, 0)
	}
}

// handleClosed notes what an origin has closed: that need not be told again. It is
// forgotten a little later, so that one write forgets several.
func (m *Coordinator) handleClosed(msg Message) {
	p := m.peer(msg.From)
	if msg.Kind == KindClosed && msg.Epoch > 0 {
		p.retryQueue.remove(retryKey{msg.Epoch, false})
	}
	if msg.LowWaterMark > max(p.lowWaterMark, m.records.LowWaterMarks[msg.From]) {
		if p.lowWaterMark <= m.records.LowWaterMarks[msg.From] {
			p.forgetAt = m.now + seconds(m.cfg.RetryS)/4
		}
		p.lowWaterMark = msg.LowWaterMark
	}
}

// advanceLowWaterMark forgets what an origin has closed, as much as one write may. The floor
// is stored even if there is nothing to forget: a late offer of a hand-off that was
// given up must find it. A job that was closed without its end was given up there:
// it is cancelled here, and forgotten once it has ended.
func (m *Coordinator) advanceLowWaterMark(p *peerState) {
	stored := m.records.LowWaterMarks[p.site]
	floor := max(p.lowWaterMark, stored)
	taken := m.index.incoming[p.site]
	// A decision of unknown outcome may be found below the floor that was stored
	// meanwhile; it goes like the others.
	left := len(taken) > 0 && taken[0] <= stored
	if !left && floor <= stored || m.now < p.forgetAt {
		return
	}
	var drop []IncomingID
	for _, e := range taken {
		h := IncomingID{p.site, e}
		k := m.records.Incoming[h]
		if e > floor {
			break
		}
		if open := k.Accepted && k.FinalState == ""; open || len(drop) == max(m.cfg.MaxForget, 1) {
			if open {
				m.emit(CancelLocal{k.LocalID})
				p.forgetAt = m.now + seconds(m.cfg.RetryS)
			}
			floor = e - 1
			break
		}
		drop = append(drop, h)
	}
	if floor = max(floor, stored); len(drop) > 0 || floor > stored {
		m.write("floor/"+string(p.site), ForgetIncoming{Origin: p.site, LowWaterMark: floor, IDs: drop}, 0)
	}
}

// onForgotten takes note that all up to a floor is dropped.
func (m *Coordinator) onForgotten(w ForgetIncoming) {
	m.records.LowWaterMarks[w.Origin] = max(m.records.LowWaterMarks[w.Origin], w.LowWaterMark)
	for _, h := range w.IDs {
		m.removeIncoming(h)
	}
}
