package core

import (
	"net/http"

	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// handleHeartbeat answers a worker's report with the stop and forget commands that are queued for the
// worker, or redirects the worker to another controller. If this node cannot serve the worker, it
// refuses the report. If the worker has seen a newer token than this node's, the report waits until
// this node has acquired a newer one.
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
	if a.core.isolation.redirectOnce(report.Machine, report.Zone, a.now.Steady, a.reportInterval()) {
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
	if report.WorkerEpoch != session.epoch {
		session.startEpoch(report.WorkerEpoch)
	}
	session.address = report.Address
	session.lastReportAt = a.now.Steady
	a.handleReport(session, *report, false)
	if peer := a.core.betterPeer(report, session); peer != "" {
		a.remove(report.Machine)
		a.log(Info, "worker redirected", "machine", report.Machine, "node", peer)
		a.reply(heartbeat.Req, http.StatusMisdirectedRequest, protocol.Redirect{ReportTo: peer})
		return
	}
	a.raiseToForget(report.Machine, session)
	batch := protocol.CommandBatch{Token: session.token, Commands: session.takeCommands()}
	a.reply(heartbeat.Req, http.StatusOK, batch)
}

// openSession opens a session for a worker that has switched to this node.
func (a *agentController) openSession(report *protocol.Report) *agentSession {
	session := newAgentSession(a.tokens.current, report.WorkerEpoch, report.Address)
	a.add(report.Machine, session)
	a.log(Info, "agent session opened", "machine", report.Machine, "type", report.Type,
		"spot", report.Spot, "token", session.token)
	// A report under this token resolves the starts that the previous controller has not
	// delivered. The worker is probed for it, since its next report may be a report interval
	// away.
	if report.Token < session.token && a.core.machines.HasBindings(report.Machine) {
		session.probeDue = true
		a.scheduleDelivery(report.Machine)
	}
	return session
}

// isStaleReport reports whether a report is a duplicate, is older than a known one, or comes from a
// terminated machine. Reports may arrive minutes late, at any controller.
func (a *agentController) isStaleReport(report *protocol.Report) bool {
	m := a.core.machines.Get(report.Machine)
	return a.core.cordons.isTerminated(report.Machine) || m != nil && m.IsOutdated(report)
}

// answerStaleReport answers a report that contains nothing new. The worker may be waiting for the
// answer, since a report that its later reply to a delivery has overtaken is stale too. Nothing is
// concluded from the report, and queued commands are kept for a newer one.
func (a *agentController) answerStaleReport(heartbeat Heartbeat) {
	report := &heartbeat.Report
	session := a.session(report.Machine)
	if session == nil || session.epoch != report.WorkerEpoch || report.Token > session.token {
		a.replyUnavailable(heartbeat.Req)
		return
	}
	a.reply(heartbeat.Req, http.StatusOK, protocol.CommandBatch{Token: session.token})
}

// handleReport processes a report of a worker that reports to this node, or the worker's reply to a
// delivery, and shares it with the other controllers if they need it.
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

// exitReshareIntervals is the number of report intervals after which a report with exited tasks
// is shared again, in case the command to forget the tasks was lost.
const exitReshareIntervals = 3

// mustShare reports whether the other controllers need to see a report. An unchanged report is usually
// not shared, because this node's heartbeats already show that the machine is alive. The first report
// of a session is always shared: when a connection is restored, peers receive only the reports of the
// sessions that exist then.
func (a *agentController) mustShare(
	session *agentSession, m *worker.Machine, report *protocol.Report, direct bool,
) bool {
	unchanged := m.Node == a.cfg.Node && m.GrantedToken == session.token &&
		m.HasSameContent(report) && m.IsNewer(report) && !m.ShowsMissedAnswer(report.Token)
	switch {
	case !unchanged || !session.hasSharedReport():
		return true
	case direct && a.reportOverdue(m):
		// Heartbeats do not list machines whose own reports are overdue.
		return true
	default:
		return m.ExitedTasks > 0 && a.now.Steady-session.lastSharedAt >= exitReshareIntervals*a.reportInterval()
	}
}

// expireSessions removes the sessions of workers that report to another controller, have stopped
// reporting or ran on a terminated machine. It probes workers whose reports are overdue.
func (a *agentController) expireSessions() {
	for machine, session := range a.all() {
		m := a.core.machines.Get(machine)
		sinceReport := a.now.Steady - session.lastReportAt
		reportsElsewhere := m != nil && m.Node != a.cfg.Node
		switch {
		case reportsElsewhere || sinceReport > a.times.lease()+2*a.reportInterval() || a.core.cordons.isTerminated(machine):
			a.remove(machine)
		case m != nil && a.isProbeDue(session, m):
			session.lastProbeAt = a.now.Steady
			session.probeDue = true
			a.raiseToForget(machine, session)
			a.deliverTo(machine, session)
		}
	}
}

// isProbeDue reports whether a worker should be probed because its reports are overdue. It is probed
// no more often than it would report, and not between an unanswered delivery and its next report.
func (a *agentController) isProbeDue(session *agentSession, m *worker.Machine) bool {
	return a.reportOverdue(m) && !session.unanswered && a.now.Steady-session.lastProbeAt >= a.reportInterval()
}
