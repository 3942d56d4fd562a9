package core

import (
	"net/http"

	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// handleHeartbeat answers an agent's heartbeat: with the commands that are queued for it, or
// with the controller that it should report to instead.
func (a *agentController) handleHeartbeat(heartbeat Heartbeat) {
	report := &heartbeat.Report
	if a.tokens.current == 0 || !a.core.replica.loaded || a.core.freshness.stale {
		a.replyUnavailable(heartbeat.Req)
		return
	}
	if a.isStaleReport(report) {
		a.answerStaleReport(heartbeat)
		return
	}
	if a.core.isolation.redirect(report.Machine, report.Zone, a.now.Steady, a.reportInterval()) {
		a.replyUnavailable(heartbeat.Req)
		return
	}
	session := a.session(report.Machine)
	if session == nil || report.Token > session.token {
		if report.Token > a.tokens.current {
			a.tokens.waitingHeartbeats = append(a.tokens.waitingHeartbeats, heartbeat)
			a.acquireToken()
			return
		}
		session = a.openSession(report)
	}
	if report.Session != session.epoch {
		session.startEpoch(report.Session)
	}
	session.address = report.Address
	session.lastReportAt = a.now.Steady
	a.handleReport(session, *report, false)
	if peer := a.core.lessLoadedPeer(report, session); peer != "" {
		a.remove(report.Machine)
		a.log(Info, "agent redirected", "machine", report.Machine, "node", peer)
		a.reply(heartbeat.Req, http.StatusMisdirectedRequest, protocol.Redirect{ReportTo: peer})
		return
	}
	orders := protocol.Orders{Token: session.token, Commands: session.takeCommands()}
	a.reply(heartbeat.Req, http.StatusOK, orders)
}

// openSession begins a session with an agent that has turned to this node.
func (a *agentController) openSession(report *protocol.Report) *agentSession {
	session := newAgentSession(a.tokens.current, report.Session, report.Address)
	a.add(report.Machine, session)
	a.log(Info, "agent session opened", "machine", report.Machine, "type", report.Type,
		"spot", report.Spot, "token", session.token)
	// Starts that the controller before had not delivered are resolved by a report under
	// this token; the next one may be a report interval away.
	if report.Token < session.token && a.core.machines.HasBindings(report.Machine) {
		session.probeDue = true
		a.scheduleDelivery(report.Machine)
	}
	return session
}

// isStaleReport tells whether a report is a copy, or older than one that is known: it may
// come minutes late, to any controller.
func (a *agentController) isStaleReport(report *protocol.Report) bool {
	m := a.core.machines.Get(report.Machine)
	return a.core.cordons.isTerminated(report.Machine) || m != nil && m.IsOutdated(report)
}

// answerStaleReport answers a report that says nothing new. An agent may be waiting for the
// answer: the reply to a direct call can overtake its report. Nothing follows from it, and
// what is queued for the agent is kept for a report that does say something.
func (a *agentController) answerStaleReport(heartbeat Heartbeat) {
	report := &heartbeat.Report
	session := a.session(report.Machine)
	if session == nil || session.epoch != report.Session || report.Token > session.token {
		a.replyUnavailable(heartbeat.Req)
		return
	}
	a.reply(heartbeat.Req, http.StatusOK, protocol.Orders{Token: session.token})
}

// handleReport takes a report of an agent of this node, or its reply to a direct call, and
// passes it on if it is of interest to the other controllers.
func (a *agentController) handleReport(session *agentSession, report protocol.Report, direct bool) {
	session.unanswered = false
	for _, t := range report.Tasks {
		delete(session.pendingStarts, taskAttempt{t.Task, t.Attempt})
	}
	m := a.core.machines.Get(report.Machine)
	if m == nil || a.mustShare(session, m, &report, direct) {
		session.lastSharedAt = a.now.Steady
		a.core.shareObservation(Observation{Node: a.cfg.Node, Token: session.token, Report: report, Direct: direct})
		return
	}
	m.Seq = report.Seq
	m.RecordAnswer(report.Token, session.token)
	a.core.machines.RecordContact(m, direct, a.now.Steady)
}

// sharedExitInterval is after how many report intervals a report with exited tasks is passed
// on again, lest the command to forget them was lost.
const sharedExitInterval = 3

// mustShare tells whether the other controllers have to see a report. Of one that says the
// same as the one before, this node's own heartbeats say enough: the machine is alive. The first
// of a session is passed on whatever it says: when a connection is back the others are sent the
// reports of the sessions that there are.
func (a *agentController) mustShare(
	session *agentSession, m *worker.Machine, report *protocol.Report, direct bool,
) bool {
	known := m.Node == a.cfg.Node && m.GrantedToken == session.token &&
		m.HasSameContent(report) && m.IsNewer(report) && !m.MissedAnswer(report.Token)
	switch {
	case !known || !session.hasShared():
		return true
	case direct && a.reportOverdue(m):
		// Heartbeats don't name machines whose own reports don't come.
		return true
	default:
		return m.ExitedTasks > 0 && a.now.Steady-session.lastSharedAt >= sharedExitInterval*a.reportInterval()
	}
}

// expireSessions forgets the sessions of agents that have gone elsewhere or fallen silent,
// and asks those whose reports don't come.
func (a *agentController) expireSessions() {
	for machine, session := range a.all() {
		m := a.core.machines.Get(machine)
		silence := a.now.Steady - session.lastReportAt
		elsewhere := m != nil && m.Node != a.cfg.Node
		switch {
		case elsewhere || silence > a.times.lease()+2*a.reportInterval() || a.core.cordons.isTerminated(machine):
			a.remove(machine)
		case m != nil && a.isProbeDue(session, m):
			session.lastProbeAt = a.now.Steady
			session.probeDue = true
			a.deliverTo(machine, session)
		}
	}
}

// isProbeDue tells whether an agent is to be asked for a report, since none comes. It is
// asked no more often than it would report.
func (a *agentController) isProbeDue(session *agentSession, m *worker.Machine) bool {
	return a.reportOverdue(m) && !session.unanswered && a.now.Steady-session.lastProbeAt >= a.reportInterval()
}
