package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

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

// forwardStart forwards a bound task's start to its agent, or refuses it for good. One that
// was decided on before is not decided again: it may come over a slow link long after this
// node has started the task by what the store shows.
func (a *agentController) forwardStart(from string, s Start) {
	reason, decided := a.earlierDecision(&s)
	if !decided {
		reason = a.refusalReasonFor(&s)
		a.startLedgers.record(&s, reason != "", a.now.Steady)
	}
	if reason != "" {
		a.log(Info, "start refused", "task", s.Task, "machine", s.Machine, "leader", from, "reason", string(reason))
		a.core.sendTo(from, PeerMessage{Refusal: &Refusal{Machine: s.Machine, Task: s.Task, Attempt: s.Attempt}})
	}
	if decided || reason != "" {
		return
	}
	a.session(s.Machine).queueStart(s.taskAttempt(), s.Need)
	a.scheduleDelivery(s.Machine)
}

// earlierDecision tells whether a start was decided on before, and why it is refused if it
// is. What was decided under a token that has passed, or by an earlier run of this process, is
// not known any more, and then only a report that proves the task absent is a reason: a
// refusal would have its leader start the task elsewhere while it runs here.
func (a *agentController) earlierDecision(s *Start) (reason refusalReason, decided bool) {
	if !a.tokens.acquired[s.Token] || a.startLedgers.hasPassed(s.Machine, s.Token) {
		if a.isProvenAbsent(s) {
			reason = refusedToken
		}
		return reason, true
	}
	decision, decided := a.startLedgers.find(s.Machine, s.Token, s.taskAttempt())
	if decision.refused {
		reason = refusedBefore
	}
	return reason, decided
}

// isProvenAbsent tells whether the newest report of its machine proves that a start has not
// been carried out and never will be.
func (a *agentController) isProvenAbsent(s *Start) bool {
	m := a.core.machines.Get(s.Machine)
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
func (a *agentController) refusalReasonFor(s *Start) refusalReason {
	session, m := a.session(s.Machine), a.core.machines.Get(s.Machine)
	switch {
	case session == nil:
		return refusedElsewhere
	case session.token != s.Token:
		return refusedToken
	case session.epoch != s.Epoch:
		return refusedEpoch
	case session.unanswered:
		return refusedUnanswered
	case m != nil && a.reportOverdue(m):
		return refusedSilent
	case s.Revision > 0 && a.core.replica.shows(s.Revision) && !a.storeHasBinding(s.Machine, s.taskAttempt()):
		return refusedUnbound
	case a.isOfCancelledJob(s.Task):
		return refusedCancelled
	case m == nil || !s.Need.Fits(a.freeResources(m, session)):
		return refusedNoRoom
	}
	return ""
}

// isOfCancelledJob tells whether a task is of a cancelled job.
func (a *agentController) isOfCancelledJob(task string) bool {
	id, _, _ := job.ParseTaskID(task)
	return a.core.cancelled(id)
}

// freeResources is the room on a machine as its newest report and the starts on their way
// show it.
func (a *agentController) freeResources(m *worker.Machine, session *agentSession) job.Resources {
	free := a.core.catalog.Capacity(m.Type)
	for _, need := range session.pendingStarts {
		free = free.Plus(need, -1)
	}
	for _, t := range m.Tasks {
		if t.State == protocol.Exited {
			continue
		}
		if id, _, ok := job.ParseTaskID(t.Task); ok && a.core.jobs[id] != nil {
			free = free.Plus(a.core.jobs[id].Need, -1)
		}
	}
	return free
}

// storeHasBinding tells whether the replica shows an attempt bound to a machine.
func (a *agentController) storeHasBinding(machine string, attempt taskAttempt) bool {
	id, i, ok := job.ParseTaskID(attempt.task)
	j := a.core.jobs[id]
	if !ok || j == nil {
		return false
	}
	b := j.Bound[i]
	return b != nil && b.Stored && b.Attempt == attempt.attempt && b.Machine == machine
}

// expireStartDecisions drops decisions whose binding the store no longer holds: a start that
// still comes for one is refused, since the replica is past it.
func (a *agentController) expireStartDecisions() {
	isObsolete := func(machine string, attempt taskAttempt, decision startDecision) bool {
		return a.core.replica.shows(decision.revision) &&
			a.isReplicaCurrent(attempt) &&
			!a.storeHasBinding(machine, attempt)
	}
	isKnown := func(machine string) bool {
		return a.session(machine) != nil || a.core.machines.Get(machine) != nil
	}
	a.startLedgers.expire(isObsolete, isKnown)
}

// isReplicaCurrent tells whether the replica has a task's job as the store does, or knows that
// nothing of the job is bound any more. That its user has cancelled it says nothing of the
// kind: its tasks run on until they are stopped. A job that is not in the replica may be one
// that is being read again.
func (a *agentController) isReplicaCurrent(attempt taskAttempt) bool {
	id, _, _ := job.ParseTaskID(attempt.task)
	j := a.core.jobs[id]
	if j == nil {
		return a.core.ended.isDone(id) || a.core.ended.revision(id) > 0
	}
	return !a.core.leads(j) || !j.Dirty() && !j.InFlight
}
