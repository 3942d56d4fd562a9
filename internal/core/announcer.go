package core

import (
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// announcer announces cancellations to the other controllers and applies those that they
// announce. It delays the confirmation of a cancellation to users until a second controller knows of
// the cancellation.
type announcer struct {
	*environment
	core *Core
	announcementSet
	// nextStopResend is the time at which the stop commands for reported tasks of cancelled jobs
	// are sent again.
	nextStopResend time.Duration
}

func newAnnouncer(core *Core) *announcer {
	return &announcer{environment: core.environment, core: core, announcementSet: newAnnouncementSet()}
}

// apply applies a stored cancellation, regardless of how this node learned of it: from its own write,
// its watch, a reply of the store or another controller. A cancellation of a job that is known to
// have another final state is ignored.
func (a *announcer) apply(cancellation Cancellation) {
	c := a.core
	if s, known := c.ended.state(cancellation.Job); known && s.State != protocol.Cancelled {
		c.log(Error, "ignoring cancellation of a job with another final state", "job", cancellation.Job, "state", s.State)
		return
	}
	c.rememberFinalState(cancellation.Job, protocol.JobState{ID: cancellation.Job, State: protocol.Cancelled})
	if announced := a.find(cancellation.Job); announced != nil {
		announced.Revision = min(announced.Revision, cancellation.Revision)
		announced.RequestedAt = max(announced.RequestedAt, cancellation.RequestedAt)
	} else if c.ended.revision(cancellation.Job) == 0 {
		a.add(cancellation, c.now.Steady)
		a.nextStopResend = 0
	}
	c.markCancelled(c.jobs[cancellation.Job])
}

// receive applies cancellations announced by another controller and acknowledges them.
func (a *announcer) receive(node string, cancellations []Cancellation) {
	if a.core.peers.get(node) == nil {
		return
	}
	var known []string
	for _, cancellation := range cancellations {
		if !job.ValidID(cancellation.Job) || cancellation.Revision == 0 {
			a.log(Error, "ignoring malformed cancellation", "node", node, "job", cancellation.Job)
			continue
		}
		a.apply(cancellation)
		known = append(known, cancellation.Job)
		a.acknowledge(node, cancellation.Job)
	}
	if len(known) > 0 {
		a.core.sendTo(node, PeerMessage{Acknowledged: known})
	}
}

// announce broadcasts a cancellation that this node has stored or is asked about, unless a second
// controller knows of it. It does not rely on the watches of the other controllers, which may be
// refused or fail with the store at any moment. No user receives a confirmation of the cancellation
// before another controller knows of it: otherwise, if this node and the store failed together, no
// running controller would know of the confirmed cancellation.
func (a *announcer) announce(id string) {
	announcement := a.find(id)
	if announcement == nil || a.mayConfirm(announcement) {
		return
	}
	a.core.broadcast(PeerMessage{Cancellations: []Cancellation{announcement.Cancellation}})
	a.unconfirmed[id] = announcement
}

// repeatUnconfirmed sends a controller, to which a connection has opened, the cancellations that users
// wait for. The first announcement of these may have found no connection.
func (a *announcer) repeatUnconfirmed(node string) {
	var due []Cancellation
	for _, announcement := range ordered(a.unconfirmed) {
		if len(due) < cancellationsPerMessage && !announcement.knownTo(node, a.core.peers) {
			due = append(due, announcement.Cancellation)
		}
	}
	if len(due) > 0 {
		a.core.route(node, PeerMessage{Cancellations: due})
	}
}

// mayConfirm reports whether users may be told of a cancellation: a second controller knows of it, or
// the job needs no stopping any more.
func (a *announcer) mayConfirm(announcement *cancelAnnouncement) bool {
	return a.hasEnded(announcement) || a.core.peerReachability.knownToSecondController(announcement)
}

// hasEnded reports whether the replica shows that the head of a cancelled job was deleted, as it is once
// no task of the job is left.
func (a *announcer) hasEnded(announcement *cancelAnnouncement) bool {
	c, id := a.core, announcement.Job
	return c.jobs[id] == nil && c.replica.reflects(announcement.Revision) && !c.replica.reloading && !c.isOutgoing(id)
}

// deferLookup defers a lookup of a cancelled job until another controller knows of the
// cancellation. It returns false if there is nothing to wait for.
func (a *announcer) deferLookup(request lookup.Request) bool {
	if a.unconfirmed[request.JobID] == nil {
		a.announce(request.JobID) // this node may know of the cancellation from its watch alone
	}
	announcement := a.unconfirmed[request.JobID]
	if announcement == nil {
		return false
	}
	announcement.pendingLookups = append(announcement.pendingLookups, request)
	return true
}

// resolveLookups resolves the deferred lookups of jobs whose cancellation another controller now
// knows of, and fails the other lookups before their users time out.
func (a *announcer) resolveLookups() {
	for id, announcement := range ordered(a.unconfirmed) {
		outcome := lookup.Unavailable
		if a.mayConfirm(announcement) {
			outcome = lookup.Final
			delete(a.unconfirmed, id)
		}
		result := lookup.Result{Outcome: outcome, State: protocol.JobState{ID: id, State: protocol.Cancelled}}
		remaining := announcement.pendingLookups[:0]
		for _, request := range announcement.pendingLookups {
			if outcome == lookup.Final || lookup.Expired(request, a.now.Steady) {
				request.Resolve(result)
			} else {
				remaining = append(remaining, request)
			}
		}
		announcement.pendingLookups = remaining
	}
}

// resend announces cancellations again to the controllers that may not know of them, directly or
// through an intermediary, until they do or the announcement expires. The first announcement and the
// watches are given one report interval before that. Stop commands are sent again until reports show
// that the tasks have exited.
func (a *announcer) resend() {
	c := a.core
	a.expire(c.now.Steady, announcementLifetimeDeadlines*c.times.cancelDeadline())
	for _, node := range c.peers.names {
		due := a.dueFor(node, c.peers, c.now.Steady, c.reportInterval())
		if len(due) > 0 {
			c.route(node, PeerMessage{Cancellations: due})
		}
	}
	if c.every(&a.nextStopResend, c.reportInterval()) {
		a.stopReportedTasks()
	}
}

// stopReportedTasks stops the tasks of cancelled jobs that appear in the newest reports of this
// node's machines. It needs neither the job and its bindings in the replica nor the store.
func (a *announcer) stopReportedTasks() {
	if len(a.byJob) == 0 {
		return
	}
	c := a.core
	for _, m := range c.agents.ownMachines() {
		for _, t := range m.Tasks {
			id, _, ok := job.ParseTaskID(t.Task)
			if ok && t.State != protocol.Exited && a.has(id) {
				c.reconciler.stopOrForgetTask(m, t)
			}
		}
	}
}

// controllerMayBeUnaware reports whether the controller that serves a machine may not know of a
// job's cancellation, in which case nothing may be stopping the job's tasks there.
func (a *announcer) controllerMayBeUnaware(id, machine string) bool {
	m, announcement := a.core.machines.Get(machine), a.find(id)
	return announcement != nil && (m == nil || !announcement.knownTo(m.Node, a.core.peers))
}
