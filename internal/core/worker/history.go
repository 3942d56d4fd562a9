package worker

import (
	"fmt"
	"time"
)

// EventKind is what happened to an attempt on a machine.
type EventKind uint8

// The kinds of events.
const (
	// StartSent means that the start command was sent to the worker.
	StartSent EventKind = iota
	// StopSent means that a stop command was queued for the worker.
	StopSent
	// EndStored means that the store holds the end of the attempt.
	EndStored
	// ForgetSent means that a forget command was queued for the worker.
	ForgetSent
	// ProvenAbsent means that a report proved that the attempt was not on the machine.
	ProvenAbsent
)

// eventNames holds the names of the kinds in logs.
var eventNames = [...]string{
	StartSent:    "start sent",
	StopSent:     "stop sent",
	EndStored:    "end stored",
	ForgetSent:   "forget sent",
	ProvenAbsent: "proven absent",
}

// isEnd reports whether the attempt must not appear in a report that did not already show it.
func (k EventKind) isEnd() bool { return k == EndStored || k == ForgetSent || k == ProvenAbsent }

// Event is something that this controller did with an attempt on a machine, or learned of it.
type Event struct {
	At      time.Duration
	Kind    EventKind
	Task    string
	Attempt uint64
	// Token is the worker's fencing token as this controller knew it.
	Token uint64
}

// String returns the event in the form in which it is logged.
func (e Event) String() string {
	return fmt.Sprintf("%v %s %s@%d token %d", e.At.Round(time.Millisecond), eventNames[e.Kind], e.Task, e.Attempt, e.Token)
}

// historyLength is the number of events that are kept for each machine.
const historyLength = 32

// history holds the newest events of a machine.
type history struct {
	events []Event
	// next is the position of the oldest event, once the history is full.
	next int
}

// add adds an event, in place of the oldest one if the history is full.
func (h *history) add(e Event) {
	if len(h.events) < historyLength {
		h.events = append(h.events, e)
		return
	}
	h.events[h.next] = e
	h.next = (h.next + 1) % historyLength
}

// RecordEvent adds an event to the history of the machine.
func (m *Machine) RecordEvent(kind EventKind, task string, attempt uint64, now time.Duration) {
	m.history.add(Event{At: now, Kind: kind, Task: task, Attempt: attempt, Token: m.GrantedToken})
}

// History returns the newest events of the machine, the oldest first.
func (m *Machine) History() []Event {
	events := make([]Event, 0, len(m.history.events))
	events = append(events, m.history.events[m.history.next:]...)
	return append(events, m.history.events[:m.history.next]...)
}

// hasEnded reports whether an attempt is known to have ended on the machine, or never to start there.
func (m *Machine) hasEnded(key attemptKey) bool {
	for _, e := range m.history.events {
		if e.Attempt == key.attempt && e.Task == key.task && e.Kind.isEnd() {
			return true
		}
	}
	return false
}

// TakeReappeared removes and returns the positions of the attempts that the latest report shows although
// they had ended before, or were proven absent, and that the report before did not show, or showed as exited.
func (m *Machine) TakeReappeared() []int {
	reappeared := m.reappeared
	m.reappeared = nil
	return reappeared
}
