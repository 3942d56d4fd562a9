package federation

import (
	"fmt"
	"strconv"
	"strings"
)

// offered decides on an offer, once and for good.
func (m *Machine) offered(in Received) {
	msg, t := in.Message, in.Message.Ticket
	h := Hold{msg.From, msg.Epoch}
	switch {
	case m.known(h):
		m.tellDecision(h)
		return
	case m.peer(msg.From).lost[msg.Epoch]:
		m.store(takenKey(h), Decide{Hold: h, Taken: Taken{Reason: recordLost}}, 0)
		return
	case t == nil || t.Epoch != msg.Epoch || t.To != m.cfg.Site || len(t.Path) == 0 || t.Path[len(t.Path)-1] != msg.From:
		return
	}
	k := Taken{Accepted: true, Local: localID(h), Path: t.Path}
	if why := m.refuses(*t, in.Unfit); why != "" {
		k = Taken{Reason: why}
	}
	m.store(takenKey(h), Decide{Hold: h, Taken: k, Ticket: *t}, 0)
}

func takenKey(h Hold) string { return fmt.Sprintf("taken/%s/%d", h.Origin, h.Epoch) }

// LocalPrefix starts the ids of jobs that were taken from other sites.
const LocalPrefix = "req-gw-"

// localID is the id of an accepted job here. It names the epoch, so that a job that
// comes again under another one is another job.
func localID(h Hold) string { return fmt.Sprintf("%s%s-%d", LocalPrefix, h.Origin, h.Epoch) }

// ParseLocal tells which epoch an id here stands for.
func ParseLocal(id string) (Hold, bool) {
	rest, ours := strings.CutPrefix(id, LocalPrefix)
	cut := strings.LastIndexByte(rest, '-')
	if !ours || cut < 0 {
		return Hold{}, false
	}
	e, err := strconv.ParseUint(rest[cut+1:], 10, 64)
	return Hold{Site(rest[:cut]), Epoch(e)}, err == nil
}

// known tells whether an epoch is decided or closed.
func (m *Machine) known(h Hold) bool {
	_, decided := m.records.Taken[h]
	return decided || h.Epoch <= m.records.Floors[h.Origin]
}

// tellDecision answers with what is stored. Of a closed epoch nothing is: only an
// origin that has forgotten that it closed it minds.
func (m *Machine) tellDecision(h Hold) {
	k, ok := m.records.Taken[h]
	msg := Message{To: h.Origin, Kind: Decided, Epoch: h.Epoch, Accepted: k.Accepted, Reason: k.Reason, Lost: k.Reason == recordLost}
	switch {
	case !ok:
		msg.Reason, msg.Lost = closedBefore, true
	case k.Reason == busy:
		msg.Busy = seconds(m.cfg.RetryS)
	case k.State != "":
		msg = Message{To: h.Origin, Kind: Ended, Epoch: h.Epoch, State: k.State}
	}
	m.send(msg)
}

// cancelAsked ends an epoch: one that is not decided is refused, so that no late
// offer of it is accepted; an accepted job is cancelled here, and its end is told.
func (m *Machine) cancelAsked(msg Message) {
	h := Hold{msg.From, msg.Epoch}
	if !m.known(h) {
		m.store(takenKey(h), Decide{Hold: h, Taken: Taken{Reason: "its user has cancelled it"}}, 0)
		return
	}
	if k := m.records.Taken[h]; k.Accepted && k.State == "" {
		m.emit(CancelHere{k.Local})
	}
	m.tellDecision(h)
}

// endedHere notes the end of an accepted job, to be told until its origin has
// stored it.
func (m *Machine) endedHere(in EndedHere) {
	h, ok := m.index.local[in.Local]
	if ok && m.records.Taken[h].State == "" {
		m.store(takenKey(h), NoteEnd{Hold: h, State: in.State}, 0)
	}
}

// closed notes what an origin has closed: that need not be told again. It is
// forgotten a little later, so that one write forgets several.
func (m *Machine) closed(msg Message) {
	p := m.peer(msg.From)
	if msg.Kind == Closed && msg.Epoch > 0 {
		p.agenda.drop(item{msg.Epoch, false})
	}
	if msg.Floor > max(p.floor, m.records.Floors[msg.From]) {
		if p.floor <= m.records.Floors[msg.From] {
			p.forgetAt = m.now + seconds(m.cfg.RetryS)/4
		}
		p.floor = msg.Floor
	}
}

// raiseFloor forgets what an origin has closed, as much as one write may. The floor
// is stored even if there is nothing to forget: a late offer of a hand-off that was
// given up must find it. A job that was closed without its end was given up there:
// it is cancelled here, and forgotten once it has ended.
func (m *Machine) raiseFloor(p *peerState) {
	stored := m.records.Floors[p.site]
	floor := max(p.floor, stored)
	taken := m.index.taken[p.site]
	// A decision of unknown outcome may be found below the floor that was stored
	// meanwhile; it goes like the others.
	left := len(taken) > 0 && taken[0] <= stored
	if !left && floor <= stored || m.now < p.forgetAt {
		return
	}
	var drop []Hold
	for _, e := range taken {
		h := Hold{p.site, e}
		k := m.records.Taken[h]
		if e > floor {
			break
		}
		if open := k.Accepted && k.State == ""; open || len(drop) == max(m.cfg.Drops, 1) {
			if open {
				m.emit(CancelHere{k.Local})
				p.forgetAt = m.now + seconds(m.cfg.RetryS)
			}
			floor = e - 1
			break
		}
		drop = append(drop, h)
	}
	if floor = max(floor, stored); len(drop) > 0 || floor > stored {
		m.store("floor/"+string(p.site), Forget{Origin: p.site, Floor: floor, Drop: drop}, 0)
	}
}

// forgotten takes note that all up to a floor is dropped.
func (m *Machine) forgotten(w Forget) {
	m.records.Floors[w.Origin] = max(m.records.Floors[w.Origin], w.Floor)
	for _, h := range w.Drop {
		m.dropTaken(h)
	}
}
