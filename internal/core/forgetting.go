package core

import (
	"time"

	"pepperlever/internal/core/worker"
)

// A worker may forget an exited attempt only under a higher token than that of its start: a copy of the
// start command may arrive at any time, and only its lower token then keeps the worker from starting the
// attempt again. Forget commands are held until the worker's token is raised. One token serves all workers
// of this node, and a worker's token is raised at a moment when no start is on its way to it.

const (
	// forgetTokenIntervals is the minimum number of report intervals between two tokens that are acquired
	// only so that workers can forget tasks.
	forgetTokenIntervals = 2
	// forgetTokenShare is the share of the store's changes that all controllers together may spend on such
	// tokens.
	forgetTokenShare = 0.02
	// maxForgetDelayIntervals is the number of report intervals for which a worker's token is not raised
	// because starts are on their way. After that they are refused, and their tasks are bound again.
	maxForgetDelayIntervals = 6
)

// forgetTokenInterval returns the minimum time between two tokens that this node acquires only so that
// workers can forget tasks.
func (a *agentController) forgetTokenInterval() time.Duration {
	tokensPerSecond := forgetTokenShare * a.core.limits.writeRate() / float64(a.core.members.size())
	return max(forgetTokenIntervals*a.reportInterval(), seconds(1/tokensPerSecond))
}

// forgetOrHold queues the command to forget an attempt, or holds it if the worker may not execute it under
// the session's token. A command for an attempt that the worker does not report is dropped.
func (a *agentController) forgetOrHold(machine string, session *agentSession, attempt taskAttempt) {
	m := a.core.machines.Get(machine)
	if m == nil {
		return
	}
	if _, reported := m.Find(attempt.task, attempt.attempt); !reported {
		delete(session.heldForgets, attempt)
		return
	}
	if !m.MayForget(attempt.task, attempt.attempt, session.token) {
		session.holdForget(attempt, a.now.Steady)
		return
	}
	delete(session.heldForgets, attempt)
	command := forgetCommand(attempt)
	session.queuedCommands[attempt] = command
	a.recordCommand(machine, command)
}

// holdForget holds the command to forget an attempt.
func (s *agentSession) holdForget(attempt taskAttempt, now time.Duration) {
	if len(s.heldForgets) == 0 {
		s.forgetsHeldSince = now
	}
	s.heldForgets[attempt] = true
}

// releaseForgets queues the held commands that the worker may execute under the session's token.
func (a *agentController) releaseForgets(machine string, session *agentSession) {
	for attempt := range orderedBy(session.heldForgets, compareAttempts) {
		a.forgetOrHold(machine, session, attempt)
	}
}

// acquireTokenToForget acquires a token if a worker waits for a newer one to forget tasks.
func (a *agentController) acquireTokenToForget() {
	if a.now.Steady < a.tokens.nextForgetToken || !a.lacksTokenToForget() {
		return
	}
	a.tokens.nextForgetToken = a.now.Steady + a.forgetTokenInterval()
	a.acquireToken()
}

// lacksTokenToForget reports whether a worker waits to forget tasks and has the current token already.
func (a *agentController) lacksTokenToForget() bool {
	for _, session := range a.byMachine {
		if len(session.heldForgets) > 0 && session.token >= a.tokens.current {
			return true
		}
	}
	return false
}

// raiseToForget moves a worker to the current token if it waits for it to forget tasks.
func (a *agentController) raiseToForget(machine string, session *agentSession) {
	if len(session.heldForgets) == 0 || session.token >= a.tokens.current {
		return
	}
	m := a.core.machines.Get(machine)
	if m == nil || session.delivering || len(session.queuedStarts) > 0 {
		return
	}
	delayedSince := max(session.forgetsHeldSince, a.tokens.acquiredAt)
	isOverdue := a.now.Steady-delayedSince > maxForgetDelayIntervals*a.reportInterval()
	if isOverdue || len(session.pendingStarts) == 0 && !a.awaitsStarts(m) {
		a.core.counters.RaisesToForget++
		a.moveToCurrentToken(machine, session)
	}
}

// needsTokenFromPeer reports whether a worker should get a higher token from another controller, to forget
// tasks: it has waited for one, and this node cannot acquire any without the store.
func (a *agentController) needsTokenFromPeer(session *agentSession) bool {
	return !a.core.storeOK && session.token >= a.tokens.current && len(session.heldForgets) > 0 &&
		a.now.Steady-session.forgetsHeldSince > maxForgetDelayIntervals*a.reportInterval()
}

// awaitsStarts reports whether the start of a task may be on its way to a machine: the task is bound to
// it, or claimed for it, and the machine's report does not show it.
func (a *agentController) awaitsStarts(m *worker.Machine) bool {
	load := a.core.machines.Load(m.Machine)
	if load == nil {
		return false
	}
	for ref, binding := range load.Tasks {
		if _, reported := m.Find(ref.Job.TaskID(ref.Index), binding.Attempt); !reported {
			return true
		}
	}
	return false
}
