package core

import (
	"iter"
	"time"
)

// messenger sends messages to other controllers, over an intermediary where there is no
// connection, and gathers observations into few messages.
type messenger struct {
	*environment
	peers *peerTable
	// pendingObservations holds the observations that are still to be passed on.
	pendingObservations []Observation
	// nextObservations is when they may be passed on again.
	nextObservations time.Duration
}

// route sends a message to a peer, over an intermediary while there is no connection to it.
// What finds no route is dropped: nothing depends on a message's arrival.
func (s *messenger) route(node string, m PeerMessage) {
	p := s.peers.get(node)
	if p == nil {
		return
	}
	if p.connected {
		s.emit(SendPeer{Nodes: []string{node}, Message: m})
		return
	}
	if m.To != "" {
		return // it has come from an intermediary, and is not passed on twice
	}
	m.To, m.From = node, s.cfg.Node
	if via := s.peers.intermediary(node); via != "" {
		s.emit(SendPeer{Nodes: []string{via}, Message: m})
	}
}

// broadcast sends a message to every other controller.
func (s *messenger) broadcast(m PeerMessage) {
	connected, disconnected := s.peers.connections()
	for _, node := range disconnected {
		s.route(node, m)
	}
	if len(connected) > 0 {
		s.emit(SendPeer{Nodes: connected, Message: m})
	}
}

// queueObservation keeps an observation until the next ones are passed on.
func (s *messenger) queueObservation(o Observation) {
	s.pendingObservations = append(s.pendingObservations, o)
}

// flushObservations passes on what was observed since the last time, at most once an interval:
// one message for many reports costs each controller far less than one for each.
func (s *messenger) flushObservations(interval time.Duration) {
	if len(s.pendingObservations) == 0 || !s.every(&s.nextObservations, interval) {
		return
	}
	for part := range batchObservations(s.pendingObservations) {
		s.broadcast(PeerMessage{Observations: part})
	}
	s.pendingObservations = nil
}

const (
	// tasksPerMessage bounds the size of a message: the reports of machines with hundreds
	// of small tasks each would exceed the longest line that a peer reads.
	tasksPerMessage = 1024
	// tasksPerReport is how many tasks take as much room as a report without tasks.
	tasksPerReport = 8
)

// batchObservations splits observations into messages. One report is never split.
func batchObservations(all []Observation) iter.Seq[[]Observation] {
	return func(yield func([]Observation) bool) {
		from, size := 0, 0
		for i, o := range all {
			n := tasksPerReport + len(o.Report.Tasks)
			if size += n; size > tasksPerMessage && i > from {
				if !yield(all[from:i]) {
					return
				}
				from, size = i, n
			}
		}
		if from < len(all) {
			yield(all[from:])
		}
	}
}
