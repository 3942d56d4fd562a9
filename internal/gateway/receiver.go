package gateway

import (
	"fmt"
	"maps"
	"slices"
)

// offered decides on an offer, once and for good.
func (m *Machine) offered(msg Message) {
	t := msg.Ticket
	if t == nil || t.Epoch != msg.Epoch || len(t.Path) == 0 || t.Path[len(t.Path)-1] != msg.From {
		return
	}
	h := Hold{msg.From, msg.Epoch}
	if m.known(h) {
		m.tellDecision(h)
		return
	}
	k := Taken{Accepted: true, Local: localID(h)}
	if why := m.refuses(*t); why != "" {
		k = Taken{Reason: why}
	}
	m.store(takenKey(h), Decide{Hold: h, Taken: k, Ticket: *t}, 0)
}

// localID is the id of an accepted job here. It names the epoch, so that a job that
// comes again under another one is another job.
func localID(h Hold) string { return fmt.Sprintf("req-gw-%s-%d", h.Origin, h.Epoch) }

// known tells whether an epoch is decided or closed.
func (m *Machine) known(h Hold) bool {
	_, decided := m.records.Taken[h]
	return decided || h.Epoch <= m.records.Floors[h.Origin]
}

// tellDecision answers with what is stored. Of a closed epoch there is nothing to
// tell: its origin has no open record of it.
func (m *Machine) tellDecision(h Hold) {
	k, ok := m.records.Taken[h]
	if !ok {
		return
	}
	msg := Message{To: h.Origin, Kind: Decided, Epoch: h.Epoch, Accepted: k.Accepted, Reason: k.Reason}
	if k.Reason == busy {
		msg.Busy = seconds(m.cfg.RetryS)
	}
	if k.State != "" {
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
	for h, k := range m.records.Taken {
		if k.Local == in.Local && k.State == "" {
			m.store(takenKey(h), NoteEnd{Hold: h, State: in.State}, 0)
		}
	}
}

// raiseFloor forgets what an origin has closed. When it says so expressly the floor
// is stored even if there is nothing to forget: a late offer of a hand-off that was
// given up must find it. A job that it has closed without its
// end was given up there: it is cancelled here, and forgotten once it has ended.
func (m *Machine) raiseFloor(origin Site, floor Epoch, closed bool) {
	if floor <= m.records.Floors[origin] {
		return
	}
	var drop []Hold
	for _, h := range slices.SortedFunc(maps.Keys(m.records.Taken), compareHolds) {
		k := m.records.Taken[h]
		if h.Origin != origin || h.Epoch > floor {
			continue
		}
		if k.Accepted && k.State == "" {
			m.emit(CancelHere{k.Local})
			floor = h.Epoch - 1
			break
		}
		drop = append(drop, h)
	}
	if (len(drop) > 0 || closed) && floor > m.records.Floors[origin] {
		m.store("floor/"+string(origin), Forget{Origin: origin, Floor: floor}, 0)
	}
}

// forgotten takes note that all up to a floor is dropped.
func (m *Machine) forgotten(w Forget) {
	m.records.Floors[w.Origin] = max(m.records.Floors[w.Origin], w.Floor)
	for h := range m.records.Taken {
		if h.Origin == w.Origin && h.Epoch <= w.Floor {
			delete(m.records.Taken, h)
			m.drop(takenKey(h))
		}
	}
}
