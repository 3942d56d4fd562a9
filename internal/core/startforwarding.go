package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// refusalReason is the reason why a start is refused, or empty if it is not.
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

// taskAttempt returns the attempt that is to be started.
func (s *Start) taskAttempt() taskAttempt { return taskAttempt{s.Task, s.Attempt} }

// forwardStart forwards the start of a bound task to the worker of its machine, or refuses it
// permanently. A start is decided only once: the request may arrive over a slow link long after
// this node has started the task from the stored binding.
func (a *agentController) forwardStart(from string, s Start) {
	reason, decided := a.earlierDecision(&s)
	if !decided {
		reason = a.refusalReasonFor(&s)
		a.startLedgers.record(&s, reason != "", a.now.Steady)
	}
	if reason == refusedToken {
		a.core.counters.OutdatedStarts++
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

// earlierDecision reports whether a start has been decided before, and the reason if it is
// refused. A start under a superseded token, or one that this incarnation has not acquired, counts as
// decided, although the decision is not known here. It is refused only if a report proves the task
// absent: a refusal makes the leader start the task elsewhere, while it may be running here.
func (a *agentController) earlierDecision(s *Start) (reason refusalReason, decided bool) {
	if !a.tokens.acquired[s.Token] || a.startLedgers.isSuperseded(s.Machine, s.Token) {
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

// isProvenAbsent reports whether the machine's newest report proves that a start has not been
// carried out and never will be.
func (a *agentController) isProvenAbsent(s *Start) bool {
	m := a.core.machines.Get(s.Machine)
	if m == nil {
		return false
	}
	binding := job.Binding{Machine: s.Machine, Attempt: s.Attempt, Token: s.Token, Epoch: s.Epoch}
	evidence, _ := m.Evidence(s.Task, &binding)
	return evidence == worker.Absent
}

// refusalReasonFor returns the reason to refuse a start, or an empty one. A start is refused
// permanently if its binding was made under another token or epoch than the worker has now: late
// start commands are safe only because a bound task can be started under no other token than that of
// its binding.
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
	case s.Revision > 0 && a.core.replica.reflects(s.Revision) && !a.storeHasBinding(s.Machine, s.taskAttempt()):
		return refusedUnbound
	case a.belongsToCancelledJob(s.Task):
		return refusedCancelled
	case m == nil || !s.Need.Fits(a.freeResources(m, session)):
		return refusedNoRoom
	}
	return ""
}

// belongsToCancelledJob reports whether a task belongs to a cancelled job.
func (a *agentController) belongsToCancelledJob(task string) bool {
	id, _, _ := job.ParseTaskID(task)
	return a.core.cancelled(id)
}

// freeResources returns the resources of a machine that neither its newest report nor the
// pending starts use.
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

// storeHasBinding reports whether the replica shows an attempt as bound to a machine.
func (a *agentController) storeHasBinding(machine string, attempt taskAttempt) bool {
	id, i, ok := job.ParseTaskID(attempt.task)
	j := a.core.jobs[id]
	if !ok || j == nil {
		return false
	}
	b := j.Bound[i]
	return b != nil && b.Stored && b.Attempt == attempt.attempt && b.Machine == machine
}

// expireStartDecisions drops the decisions whose bindings are no longer stored. A start that
// still arrives for one is refused, since the replica is past the revision of the binding.
func (a *agentController) expireStartDecisions() {
	isObsolete := func(machine string, attempt taskAttempt, decision startDecision) bool {
		return a.core.replica.reflects(decision.revision) &&
			a.isReplicaCurrent(attempt) &&
			!a.storeHasBinding(machine, attempt)
	}
	isKnown := func(machine string) bool {
		return a.session(machine) != nil || a.core.machines.Get(machine) != nil
	}
	a.startLedgers.expire(isObsolete, isKnown)
}

// isReplicaCurrent reports whether the replica shows a task's job as it is stored, or the job is
// known to have no bound tasks any more. A job that is missing from the replica may be about to be
// reloaded, so it counts only if it is done or its head was deleted. A user's cancellation alone
// is not enough, because the tasks run until they are stopped.
func (a *agentController) isReplicaCurrent(attempt taskAttempt) bool {
	id, _, _ := job.ParseTaskID(attempt.task)
	j := a.core.jobs[id]
	if j == nil {
		return a.core.ended.isDone(id) || a.core.ended.revision(id) > 0
	}
	return !a.core.leads(j) || !j.Dirty() && !j.InFlight
}
