package core

import (
	"iter"
	"time"
)

// messenger sends messages to other controllers, through an intermediary where there is no
// connection, and batches observations.
type messenger struct {
	*environment
	peers *peerTable
	// pendingObservations holds the observations that wait for the next broadcast.
	pendingObservations []Observation
	// nextFlush is when the observations may be broadcast next.
	nextFlush time.Duration
}

// route sends a message to a peer, through an intermediary while there is no connection to it.
// A message without a route is dropped: correctness does not depend on its arrival.
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
		return // already forwarded by an intermediary, and forwarded at most once
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

// queueObservation queues an observation for the next broadcast. If the one queued last is of the same
// report, only its token is replaced.
func (s *messenger) queueObservation(o Observation) {
	if last := len(s.pendingObservations) - 1; last >= 0 && s.pendingObservations[last].isOfSameReport(&o) {
		s.pendingObservations[last].Token = o.Token
		return
	}
	s.pendingObservations = append(s.pendingObservations, o)
}

// flushObservations broadcasts the queued observations, at most once per interval. One message
// with many reports costs each controller far less than one message per report.
func (s *messenger) flushObservations(interval time.Duration) {
	if len(s.pendingObservations) == 0 || !s.every(&s.nextFlush, interval) {
		return
	}
	for batch := range batchObservations(s.pendingObservations) {
		s.broadcast(PeerMessage{Observations: batch})
	}
	s.pendingObservations = nil
}

const (
	// maxTasksPerMessage bounds the size of a message: without a bound, the reports of several
	// machines with hundreds of small tasks each would exceed the longest line that a peer reads.
	maxTasksPerMessage = 1024
	// reportOverheadTasks is the size of a report without tasks, in tasks.
	reportOverheadTasks = 8
)

// batchObservations splits observations into messages of bounded size. A report is never split.
func batchObservations(all []Observation) iter.Seq[[]Observation] {
	return func(yield func([]Observation) bool) {
		start, size := 0, 0
		for i, o := range all {
			reportSize := reportOverheadTasks + len(o.Report.Tasks)
			if size += reportSize; size > maxTasksPerMessage && i > start {
				if !yield(all[start:i]) {
					return
				}
				start, size = i, reportSize
			}
		}
		if start < len(all) {
			yield(all[start:])
		}
	}
}
