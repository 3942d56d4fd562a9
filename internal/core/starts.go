package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// The leader of a job asks the controller of a machine to start a task there, once, after the
// binding is stored. That controller forwards the start to the machine's agent or refuses it
// for good.

// refusalReason says why a start is refused, empty if it is not.
type refusalReason string

// Reasons to refuse a start.
const (
	refusedElsewhere  refusalReason = "worker reports elsewhere"
	refusedToken      refusalReason = "token has passed"
	refusedEpoch      refusalReason = "epoch has passed"
	refusedUnanswered refusalReason = "worker does not answer"
	refusedSilent     refusalReason = "worker does not report"
	refusedUnbound    refusalReason = "binding has passed"
	refusedCancelled  refusalReason = "job is cancelled"
	refusedNoRoom     refusalReason = "no room"
	refusedBefore     refusalReason = "refused before"
)

// taskAttempt names the attempt that a start is of.
func (s *Start) taskAttempt() taskAttempt { return taskAttempt{s.Task, s.Attempt} }

// sendStarts sends the starts of bindings that the store now holds. A gang's tasks start
// together, once all of them are stored.
func (c *Core) sendStarts(j *job.Job) {
	if j.Cancelled || j.Kind == job.Gang && !allStored(j) {
		return
	}
	for i, b := range ordered(j.Bound) {
		if b.Stored && !b.Sent && !b.Stopping {
			c.sendStart(j, i, b)
		}
	}
}

func allStored(j *job.Job) bool {
	for _, b := range j.Bound {
		if !b.Stored {
			return false
		}
	}
	return true
}

// sendStart sends one start to the controller of its machine, unless the machine has moved
// on since the task was bound to it.
func (c *Core) sendStart(j *job.Job, i int, b *job.Binding) {
	b.Sent, b.Since = true, c.now.Steady
	m := c.machines.Get(b.Machine)
	if m == nil {
		return
	}
	if m.GrantedToken != b.Token || m.Session != b.Epoch {
		// It would be refused, but the controller that had the machine may start it by what
		// the store shows meanwhile: only a report resolves it.
		c.reconcileBinding(j, i, b, m)
		return
	}
	c.log(Debug, "start sent", "task", j.TaskID(i), "attempt", b.Attempt, "machine", b.Machine)
	c.sendTo(m.Node, PeerMessage{Start: &Start{
		Machine:  b.Machine,
		Task:     j.TaskID(i),
		Attempt:  b.Attempt,
		Token:    b.Token,
		Epoch:    b.Epoch,
		Need:     j.Need,
		Revision: j.Version,
	}})
}

// handleRefusal ends a binding whose start was never forwarded and never will be.
func (c *Core) handleRefusal(r Refusal) {
	id, i, ok := job.ParseTaskID(r.Task)
	j := c.jobs[id]
	if !ok || j == nil || !c.leads(j) {
		return
	}
	b := j.Bound[i]
	if b == nil || !b.Stored || b.Attempt != r.Attempt || b.Machine != r.Machine {
		return
	}
	c.log(Debug, "start was refused", "task", r.Task, "machine", r.Machine)
	if m := c.machines.Get(r.Machine); m != nil {
		m.FullAt = c.now.Steady // not again before something has changed
	}
	c.unbind(j, i)
}

// forwardStart forwards a bound task's start to its agent, or refuses it for good. One that
// was decided on before is not decided again: it may come over a slow link long after this
// node has started the task by what the store shows.
func (c *Core) forwardStart(from string, s Start) {
	reason, decided := c.earlierDecision(&s)
	if !decided {
		reason = c.refusalReasonFor(&s)
		c.startLedgers.record(&s, reason != "", c.now.Steady)
	}
	if reason != "" {
		c.log(Info, "start refused", "task", s.Task, "machine", s.Machine, "leader", from, "reason", string(reason))
		c.sendTo(from, PeerMessage{Refusal: &Refusal{Machine: s.Machine, Task: s.Task, Attempt: s.Attempt}})
	}
	if decided || reason != "" {
		return
	}
	c.agents.session(s.Machine).queueStart(s.taskAttempt(), s.Need)
	c.agents.scheduleDelivery(s.Machine)
}

// earlierDecision tells whether a start was decided on before, and why it is refused if it
// is. What was decided under a token that has passed, or by an earlier run of this process, is
// not known any more, and then only a report that proves the task absent is a reason: a
// refusal would have its leader start the task elsewhere while it runs here.
func (c *Core) earlierDecision(s *Start) (reason refusalReason, decided bool) {
	if !c.tokens.acquired[s.Token] || c.startLedgers.hasPassed(s.Machine, s.Token) {
		if c.isProvenAbsent(s) {
			reason = refusedToken
		}
		return reason, true
	}
	decision, decided := c.startLedgers.find(s.Machine, s.Token, s.taskAttempt())
	if decision.refused {
		reason = refusedBefore
	}
	return reason, decided
}

// isProvenAbsent tells whether the newest report of its machine proves that a start has not
// been carried out and never will be.
func (c *Core) isProvenAbsent(s *Start) bool {
	m := c.machines.Get(s.Machine)
	if m == nil {
		return false
	}
	binding := job.Binding{Machine: s.Machine, Attempt: s.Attempt, Token: s.Token, Epoch: s.Epoch}
	evidence, _ := m.Evidence(s.Task, &binding)
	return evidence == worker.Absent
}

// refusalReasonFor tells why a start is refused. A start under another token or for another
// epoch is refused for good: that its binding can only ever be started under the token that
// it was made for is what makes late ones safe.
func (c *Core) refusalReasonFor(s *Start) refusalReason {
	session, m := c.agents.session(s.Machine), c.machines.Get(s.Machine)
	switch {
	case session == nil:
		return refusedElsewhere
	case session.token != s.Token:
		return refusedToken
	case session.epoch != s.Epoch:
		return refusedEpoch
	case session.unanswered:
		return refusedUnanswered
	case m != nil && c.reportOverdue(m):
		return refusedSilent
	case s.Revision > 0 && c.replica.shows(s.Revision) && !c.storeHasBinding(s.Machine, s.taskAttempt()):
		return refusedUnbound
	case c.isOfCancelledJob(s.Task):
		return refusedCancelled
	case m == nil || !s.Need.Fits(c.freeResources(m, session)):
		return refusedNoRoom
	}
	return ""
}

// isOfCancelledJob tells whether a task is of a cancelled job.
func (c *Core) isOfCancelledJob(task string) bool {
	id, _, _ := job.ParseTaskID(task)
	return c.cancelled(id)
}

// freeResources is the room on a machine as its newest report and the starts on their way
// show it.
func (c *Core) freeResources(m *worker.Machine, session *agentSession) job.Resources {
	free := c.catalog.Capacity(m.Type)
	for _, need := range session.pendingStarts {
		free = free.Plus(need, -1)
	}
	for _, t := range m.Tasks {
		if t.State == protocol.Exited {
			continue
		}
		if id, _, ok := job.ParseTaskID(t.Task); ok && c.jobs[id] != nil {
			free = free.Plus(c.jobs[id].Need, -1)
		}
	}
	return free
}

// storeHasBinding tells whether the replica shows an attempt bound to a machine.
func (c *Core) storeHasBinding(machine string, attempt taskAttempt) bool {
	id, i, ok := job.ParseTaskID(attempt.task)
	j := c.jobs[id]
	if !ok || j == nil {
		return false
	}
	b := j.Bound[i]
	return b != nil && b.Stored && b.Attempt == attempt.attempt && b.Machine == machine
}

// expireStartDecisions drops decisions whose binding the store no longer holds: a start that
// still comes for one is refused, since the replica is past it.
func (c *Core) expireStartDecisions() {
	isObsolete := func(machine string, attempt taskAttempt, decision startDecision) bool {
		return c.replica.shows(decision.revision) && c.isReplicaCurrent(attempt) && !c.storeHasBinding(machine, attempt)
	}
	isKnown := func(machine string) bool {
		return c.agents.session(machine) != nil || c.machines.Get(machine) != nil
	}
	c.startLedgers.expire(isObsolete, isKnown)
}

// isReplicaCurrent tells whether the replica has a task's job as the store does, or knows that
// nothing of the job is bound any more. That its user has cancelled it says nothing of the
// kind: its tasks run on until they are stopped. A job that is not in the replica may be one
// that is being read again.
func (c *Core) isReplicaCurrent(attempt taskAttempt) bool {
	id, _, _ := job.ParseTaskID(attempt.task)
	j := c.jobs[id]
	if j == nil {
		return c.ended.isDone(id) || c.ended.revision(id) > 0
	}
	return !c.leads(j) || !j.Dirty() && !j.InFlight
}
