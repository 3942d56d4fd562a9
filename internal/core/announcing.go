package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// noteCancellation notes a cancellation that the store holds, whoever told of it: this
// node's own write, its watch, an answer of the store, or another controller.
func (c *Core) noteCancellation(k Cancellation) {
	if s, known := c.ended.state(k.Job); known && s.State != protocol.Cancelled {
		c.log(Error, "cancellation of a job in another final state ignored", "job", k.Job, "state", s.State)
		return
	}
	c.rememberFinalState(k.Job, protocol.JobState{ID: k.Job, State: protocol.Cancelled})
	if a := c.announcements.of(k.Job); a != nil {
		a.Revision = min(a.Revision, k.Revision)
		a.RequestedAt = max(a.RequestedAt, k.RequestedAt)
	} else if c.ended.revision(k.Job) == 0 {
		c.announcements.add(k, c.now.Steady)
		c.timers.stopReported = 0
	}
	c.markCancelled(c.jobs[k.Job])
}

// stopReportedTasks stops the tasks of cancelled jobs that the newest reports of this node's
// machines show. That takes neither the job, nor a binding, nor the store.
func (c *Core) stopReportedTasks() {
	if len(c.announcements.byJob) == 0 {
		return
	}
	for machine := range c.agents.all() {
		m := c.machines.Get(machine)
		if m == nil || m.Node != c.cfg.Node {
			continue
		}
		for _, t := range m.Tasks {
			id, _, ok := job.ParseTaskID(t.Task)
			if ok && t.State != protocol.Exited && c.announcements.has(id) {
				c.stopOrForgetTask(m, t)
			}
		}
	}
}

// handleCancellations takes cancellations of another controller, and acknowledges them.
func (c *Core) handleCancellations(node string, cancellations []Cancellation) {
	if c.peers.get(node) == nil {
		return
	}
	var known []string
	for _, k := range cancellations {
		if !job.ValidID(k.Job) || k.Revision == 0 {
			c.log(Error, "malformed cancellation ignored", "node", node, "job", k.Job)
			continue
		}
		c.noteCancellation(k)
		known = append(known, k.Job)
		c.announcements.acknowledge(node, k.Job)
	}
	if len(known) > 0 {
		c.sendTo(node, PeerMessage{Acknowledged: known})
	}
}

// announceCancel tells all other controllers of a cancellation that this node has stored or
// is asked about, ahead of their watches, which may be refused or end with the store at any
// moment. No user is told before another controller knows: otherwise nobody would know
// if this node failed and the store with it.
func (c *Core) announceCancel(id string) {
	a := c.announcements.of(id)
	if a == nil || c.reach.knownToAnother(a) {
		return
	}
	c.broadcast(PeerMessage{Cancellations: []Cancellation{a.Cancellation}})
	c.announcements.unconfirmed[id] = a
}

// deferUntilAnnounced keeps a lookup of a cancelled job until another controller knows of
// the cancellation. It reports false if there is nothing to wait for.
func (c *Core) deferUntilAnnounced(request lookup.Request) bool {
	if c.announcements.unconfirmed[request.JobID] == nil {
		c.announceCancel(request.JobID) // it may be known by the watch alone
	}
	a := c.announcements.unconfirmed[request.JobID]
	if a == nil {
		return false
	}
	a.waiting = append(a.waiting, request)
	return true
}

// answerAnnounced resolves the lookups that wait for another controller to know of a
// cancellation, or turns them away before their users have gone.
func (c *Core) answerAnnounced() {
	for id, a := range ordered(c.announcements.unconfirmed) {
		outcome := lookup.Unavailable
		if c.reach.knownToAnother(a) {
			outcome = lookup.Final
			delete(c.announcements.unconfirmed, id)
		}
		result := lookup.Result{Outcome: outcome, State: protocol.JobState{ID: id, State: protocol.Cancelled}}
		rest := a.waiting[:0]
		for _, request := range a.waiting {
			if outcome == lookup.Final || lookup.Expired(request, c.now.Steady) {
				request.Resolve(result)
			} else {
				rest = append(rest, request)
			}
		}
		a.waiting = rest
	}
}

// repeatAnnouncements announces cancellations again to all that are not known to know, until
// they do, over every route there is. For a report interval they are left to the first
// announcement and to the watches. Stops are repeated until reports show the end.
func (c *Core) repeatAnnouncements() {
	c.announcements.expire(c.now.Steady, announcementLifetime*c.times.cancelDeadline())
	for _, node := range c.peers.names {
		due := c.announcements.dueFor(node, c.peers, c.now.Steady, c.reportInterval())
		if len(due) > 0 {
			c.route(node, PeerMessage{Cancellations: due})
		}
	}
	if c.every(&c.timers.stopReported, c.reportInterval()) {
		c.stopReportedTasks()
	}
}
