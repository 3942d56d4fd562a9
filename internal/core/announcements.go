package core

import (
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// cancelAnnouncement is a Cancellation that is known here, and which controllers have acknowledged it.
type cancelAnnouncement struct {
	Cancellation
	at time.Duration
	// acknowledgedBy holds the controllers that have said that they know. A later run of one reads
	// it in the stored state before it answers a worker.
	acknowledgedBy map[string]bool
	// waiting are the questions whose answer waits for another controller to know.
	waiting []lookup.Request
}

const (
	// cancellationsPerMessage bounds a message, maxAnnouncements the memory. Past it the oldest are
	// dropped, which are left to the watch of those that have not heard of them.
	cancellationsPerMessage = 256
	maxAnnouncements        = 4 * maxFinalStates
	// announcementLifetime is for how many times the time allowed a cancellation is broadcast.
	announcementLifetime = 4
)

// noteCancellation notes a cancellation that the state service holds, whoever told of it:
// this node's own write, its watch, an answer of the store, or another controller.
func (c *Core) noteCancellation(k Cancellation) {
	if s, known := c.finalStates[k.Job]; known && s.State != protocol.Cancelled {
		c.log(Error, "cancellation of a job that has ended otherwise is ignored", "job", k.Job, "state", s.State)
		return
	}
	c.rememberFinalState(k.Job, protocol.JobState{ID: k.Job, State: protocol.Cancelled})
	if w := c.announcements[k.Job]; w != nil {
		w.Revision, w.RequestedAt = min(w.Revision, k.Revision), max(w.RequestedAt, k.RequestedAt)
	} else if c.endRevisions[k.Job] == 0 {
		c.startAnnouncement(k)
	}
	c.markCancelled(c.jobs[k.Job])
}

func (c *Core) startAnnouncement(k Cancellation) {
	w := &cancelAnnouncement{Cancellation: k, at: c.now.Steady, acknowledgedBy: map[string]bool{}}
	c.announcements[k.Job] = w
	c.announcementOrder = append(c.announcementOrder, k.Job)
	for len(c.announcementOrder) > maxAnnouncements {
		delete(c.announcements, c.announcementOrder[0])
		c.announcementOrder = c.announcementOrder[1:]
	}
	c.timers.stopReported = 0
}

// stopReportedTasks stops the tasks of cancelled jobs that the newest reports of own machines
// show: neither the job, nor a binding, nor the state service is needed for it.
func (c *Core) stopReportedTasks() {
	if len(c.announcements) == 0 {
		return
	}
	for machine := range c.agents.all() {
		m := c.machines.Get(machine)
		if m == nil || m.Node != c.cfg.Node {
			continue
		}
		for _, t := range m.Tasks {
			if id, _, ok := job.SplitTask(t.Task); ok && t.State != protocol.Exited && c.announcements[id] != nil {
				c.stopOrForgetTask(m, t)
			}
		}
	}
}

// hasAcknowledged tells whether a controller is known to know of a cancellation: it has said so,
// or its replica is past it.
func (c *Core) hasAcknowledged(node string, w *cancelAnnouncement) bool {
	p := c.peers[node]
	return node == c.cfg.Node || p != nil && (w.acknowledgedBy[node] || p.revision >= w.Revision)
}

// handleCancellations takes cancellations of another controller, and acknowledges them.
func (c *Core) handleCancellations(node string, told []Cancellation) {
	if c.peers[node] == nil {
		return
	}
	var known []string
	for _, k := range told {
		if !job.ValidID(k.Job) || k.Revision == 0 {
			c.log(Error, "cancellation is not understood", "node", node, "job", k.Job)
			continue
		}
		c.noteCancellation(k)
		known = append(known, k.Job)
		if w := c.announcements[k.Job]; w != nil {
			w.acknowledgedBy[node] = true
		}
	}
	if len(known) > 0 {
		c.sendTo(node, PeerMessage{Acknowledged: known})
	}
}

// handleAcknowledgements notes of which jobs a controller has said that it knows them to be cancelled.
func (c *Core) handleAcknowledgements(node string, jobs []string) {
	for _, id := range jobs {
		if w := c.announcements[id]; w != nil {
			w.acknowledgedBy[node] = true
		}
	}
}

// announceCancel tells all other controllers of a cancellation that this node has stored or
// is asked about, ahead of their watches, which may be refused or end with the state service at any
// moment. No user is told before another controller knows: else nobody would, if this node
// ended and the state service with it.
func (c *Core) announceCancel(id string) {
	if w := c.announcements[id]; w != nil && !c.acknowledgedByAnother(w) {
		c.broadcast(PeerMessage{Cancellations: []Cancellation{w.Cancellation}})
		c.unannounced[id] = w
	}
}

// answerAnnounced answers what waits for another controller to know of a cancellation, or turns
// it away before its user has gone.
func (c *Core) answerAnnounced() {
	for id, w := range ordered(c.unannounced) {
		outcome := lookup.Unavailable
		if c.acknowledgedByAnother(w) {
			outcome = lookup.Final
			delete(c.unannounced, id)
		}
		rest := w.waiting[:0]
		for _, q := range w.waiting {
			if outcome == lookup.Final || lookup.Expired(q, c.now.Steady) {
				q.Resolve(lookup.Result{Outcome: outcome, State: protocol.JobState{ID: id, State: protocol.Cancelled}})
			} else {
				rest = append(rest, q)
			}
		}
		w.waiting = rest
	}
}

// acknowledgedByAnother tells whether a second controller knows of a cancellation, or there is
// none. One of the release before can't say so: it is left to its watch.
func (c *Core) acknowledgedByAnother(w *cancelAnnouncement) bool {
	alone := true
	for node, p := range c.peers {
		live := c.members.isLive(node)
		if c.hasAcknowledged(node, w) || c.inDirectContact(node) && p.lastHeartbeatID == "" {
			return true
		}
		alone = alone && !live && !c.inDirectContact(node)
	}
	return alone
}

// unacknowledged counts the cancellations that some controller is not known to know.
func (c *Core) unacknowledged() (n int) {
	for _, w := range c.announcements {
		for node := range c.peers {
			if !c.hasAcknowledged(node, w) {
				n++
				break
			}
		}
	}
	return n
}

// repeatAnnouncements broadcasts cancellations again to all that are not known to know, until they do, over
// every way there is. Stops go out again until reports show the end.
func (c *Core) repeatAnnouncements() {
	kept := c.announcementOrder[:0]
	for _, id := range c.announcementOrder {
		w := c.announcements[id]
		if w == nil {
			continue
		}
		if c.now.Steady-w.at > announcementLifetime*c.cancelDeadline() {
			delete(c.announcements, id)
			continue
		}
		kept = append(kept, id)
	}
	c.announcementOrder = kept
	for _, p := range c.cfg.Peers {
		c.announceAgainTo(p.Node)
	}
	if c.every(&c.timers.stopReported, c.reportInterval()) {
		c.stopReportedTasks()
	}
}

// announceAgainTo tells a controller the cancellations that it is not known to know. For a report interval
// they are left to its watch.
func (c *Core) announceAgainTo(node string) {
	var out []Cancellation
	for _, id := range c.announcementOrder {
		if w := c.announcements[id]; w != nil && c.now.Steady-w.at >= c.reportInterval() && !c.hasAcknowledged(node, w) {
			if out = append(out, w.Cancellation); len(out) == cancellationsPerMessage {
				break
			}
		}
	}
	if len(out) > 0 {
		c.route(node, PeerMessage{Cancellations: out})
	}
}
