package core

import (
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// announcer announces cancellations to the other controllers, acts on those that they
// announce, and holds users back until another controller knows.
type announcer struct {
	*environment
	core *Core
	announcementSet
	// nextStop is when the tasks of cancelled jobs in reports are stopped again.
	nextStop time.Duration
}

func newAnnouncer(core *Core) *announcer {
	return &announcer{environment: core.environment, core: core, announcementSet: newAnnouncementSet()}
}

// note notes a cancellation that the store holds, whoever told of it: this node's own write,
// its watch, an answer of the store, or another controller.
func (a *announcer) note(k Cancellation) {
	c := a.core
	if s, known := c.ended.state(k.Job); known && s.State != protocol.Cancelled {
		c.log(Error, "cancellation of a job in another final state ignored", "job", k.Job, "state", s.State)
		return
	}
	c.rememberFinalState(k.Job, protocol.JobState{ID: k.Job, State: protocol.Cancelled})
	if announced := a.of(k.Job); announced != nil {
		announced.Revision = min(announced.Revision, k.Revision)
		announced.RequestedAt = max(announced.RequestedAt, k.RequestedAt)
	} else if c.ended.revision(k.Job) == 0 {
		a.add(k, c.now.Steady)
		a.nextStop = 0
	}
	c.markCancelled(c.jobs[k.Job])
}

// receive takes cancellations of another controller, and acknowledges them.
func (a *announcer) receive(node string, cancellations []Cancellation) {
	if a.core.peers.get(node) == nil {
		return
	}
	var known []string
	for _, k := range cancellations {
		if !job.ValidID(k.Job) || k.Revision == 0 {
			a.log(Error, "malformed cancellation ignored", "node", node, "job", k.Job)
			continue
		}
		a.note(k)
		known = append(known, k.Job)
		a.acknowledge(node, k.Job)
	}
	if len(known) > 0 {
		a.core.sendTo(node, PeerMessage{Acknowledged: known})
	}
}

// announce tells all other controllers of a job's cancellation that this node has stored or
// is asked about, ahead of their watches, which may be refused or end with the store at any
// moment. No user is told before another controller knows: otherwise nobody would know
// if this node failed and the store with it.
func (a *announcer) announce(id string) {
	cancelled := a.of(id)
	if cancelled == nil || a.core.reach.knownToAnother(cancelled) {
		return
	}
	a.core.broadcast(PeerMessage{Cancellations: []Cancellation{cancelled.Cancellation}})
	a.unconfirmed[id] = cancelled
}

// deferLookup keeps a lookup of a cancelled job until another controller knows of the
// cancellation. It reports false if there is nothing to wait for.
func (a *announcer) deferLookup(request lookup.Request) bool {
	if a.unconfirmed[request.JobID] == nil {
		a.announce(request.JobID) // it may be known by the watch alone
	}
	cancelled := a.unconfirmed[request.JobID]
	if cancelled == nil {
		return false
	}
	cancelled.waiting = append(cancelled.waiting, request)
	return true
}

// resolveLookups resolves the lookups that wait for another controller to know of a
// cancellation, or turns them away before their users have gone.
func (a *announcer) resolveLookups() {
	for id, cancelled := range ordered(a.unconfirmed) {
		outcome := lookup.Unavailable
		if a.core.reach.knownToAnother(cancelled) {
			outcome = lookup.Final
			delete(a.unconfirmed, id)
		}
		result := lookup.Result{Outcome: outcome, State: protocol.JobState{ID: id, State: protocol.Cancelled}}
		rest := cancelled.waiting[:0]
		for _, request := range cancelled.waiting {
			if outcome == lookup.Final || lookup.Expired(request, a.now.Steady) {
				request.Resolve(result)
			} else {
				rest = append(rest, request)
			}
		}
		cancelled.waiting = rest
	}
}

// repeat announces cancellations again to all that are not known to know, until they do, over
// every route there is. For a report interval they are left to the first announcement
// and to the watches. Stops are repeated until reports show the end.
func (a *announcer) repeat() {
	c := a.core
	a.expire(c.now.Steady, announcementLifetime*c.times.cancelDeadline())
	for _, node := range c.peers.names {
		due := a.dueFor(node, c.peers, c.now.Steady, c.reportInterval())
		if len(due) > 0 {
			c.route(node, PeerMessage{Cancellations: due})
		}
	}
	if c.every(&a.nextStop, c.reportInterval()) {
		a.stopReportedTasks()
	}
}

// stopReportedTasks stops the tasks of cancelled jobs that the newest reports of this node's
// machines show. That takes neither the job, nor a binding, nor the store.
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

// isUnaware tells whether a machine's controller is not known to know of a job's cancellation,
// so that nobody may be stopping the job's tasks there.
func (a *announcer) isUnaware(id, machine string) bool {
	m, cancelled := a.core.machines.Get(machine), a.of(id)
	return cancelled != nil && (m == nil || !cancelled.knownTo(m.Node, a.core.peers))
}
