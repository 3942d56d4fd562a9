package core

import (
	"net/http"

	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// handleHeartbeat answers an agent's heartbeat: with the commands that are queued for it, or
// with the controller that it should report to instead.
func (c *Core) handleHeartbeat(heartbeat Heartbeat) {
	report := &heartbeat.Report
	if c.tokens.current == 0 || !c.replica.loaded || c.freshness.stale {
		c.replyUnavailable(heartbeat.Req)
		return
	}
	if c.isStaleReport(report) {
		c.answerStaleReport(heartbeat)
		return
	}
	if c.isolation.redirect(report.Machine, report.Zone, c.now.Steady, c.reportInterval()) {
		c.replyUnavailable(heartbeat.Req)
		return
	}
	session := c.agents.session(report.Machine)
	if session == nil || report.Token > session.token {
		if report.Token > c.tokens.current {
			c.tokens.waitingHeartbeats = append(c.tokens.waitingHeartbeats, heartbeat)
			c.acquireToken()
			return
		}
		session = c.openSession(report)
	}
	if report.Session != session.epoch {
		session.startEpoch(report.Session)
	}
	session.address = report.Address
	session.lastReportAt = c.now.Steady
	c.handleReport(session, *report, false)
	if peer := c.lessLoadedPeer(report, session); peer != "" {
		c.agents.remove(report.Machine)
		c.log(Info, "agent redirected", "machine", report.Machine, "node", peer)
		c.reply(heartbeat.Req, http.StatusMisdirectedRequest, protocol.Redirect{ReportTo: peer})
		return
	}
	orders := protocol.Orders{Token: session.token, Commands: session.takeCommands()}
	c.reply(heartbeat.Req, http.StatusOK, orders)
}

// openSession begins a session with an agent that has turned to this node.
func (c *Core) openSession(report *protocol.Report) *agentSession {
	session := newAgentSession(c.tokens.current, report.Session, report.Address)
	c.agents.add(report.Machine, session)
	c.log(Info, "agent session opened", "machine", report.Machine, "type", report.Type,
		"spot", report.Spot, "token", session.token)
	// Starts that the controller before had not delivered are resolved by a report under
	// this token; the next one may be a report interval away.
	if report.Token < session.token && c.machines.HasBindings(report.Machine) {
		session.probeDue = true
		c.agents.scheduleDelivery(report.Machine)
	}
	return session
}

// isStaleReport tells whether a report is a copy, or older than one that is known: it may
// come minutes late, to any controller.
func (c *Core) isStaleReport(report *protocol.Report) bool {
	m := c.machines.Get(report.Machine)
	return c.cordons.isTerminated(report.Machine) || m != nil && m.IsOutdated(report)
}

// answerStaleReport answers a report that says nothing new. An agent may be waiting for the
// answer: the reply to a direct call can overtake its report. Nothing follows from it, and
// what is queued for the agent is kept for a report that does say something.
func (c *Core) answerStaleReport(heartbeat Heartbeat) {
	report := &heartbeat.Report
	session := c.agents.session(report.Machine)
	if session == nil || session.epoch != report.Session || report.Token > session.token {
		c.replyUnavailable(heartbeat.Req)
		return
	}
	c.reply(heartbeat.Req, http.StatusOK, protocol.Orders{Token: session.token})
}

// handleReport takes a report of an agent of this node, or its reply to a direct call, and
// passes it on if it is of interest to the other controllers.
func (c *Core) handleReport(session *agentSession, report protocol.Report, direct bool) {
	session.unanswered = false
	for _, t := range report.Tasks {
		delete(session.pendingStarts, taskAttempt{t.Task, t.Attempt})
	}
	m := c.machines.Get(report.Machine)
	if m == nil || c.mustShare(session, m, &report, direct) {
		session.lastSharedAt = c.now.Steady
		c.shareObservation(Observation{Node: c.cfg.Node, Token: session.token, Report: report, Direct: direct})
		return
	}
	m.Seq = report.Seq
	m.RecordAnswer(report.Token, session.token)
	c.machines.RecordContact(m, direct, c.now.Steady)
}

// sharedExitInterval is after how many report intervals a report with exited tasks is passed
// on again, lest the command to forget them was lost.
const sharedExitInterval = 3

// mustShare tells whether the other controllers have to see a report. Of one that says the
// same as the one before, this node's own heartbeats say enough: the machine is alive.
func (c *Core) mustShare(session *agentSession, m *worker.Machine, report *protocol.Report, direct bool) bool {
	known := m.Node == c.cfg.Node && m.GrantedToken == session.token &&
		m.HasSameContent(report) && m.IsNewer(report) && !m.MissedAnswer(report.Token)
	switch {
	case !known:
		return true
	case direct && c.reportOverdue(m):
		// Heartbeats don't name machines whose own reports don't come.
		return true
	default:
		return m.ExitedTasks > 0 && c.now.Steady-session.lastSharedAt >= sharedExitInterval*c.reportInterval()
	}
}

// expireSessions forgets the sessions of agents that have gone elsewhere or fallen silent,
// and asks those whose reports don't come.
func (c *Core) expireSessions() {
	for machine, session := range c.agents.all() {
		m := c.machines.Get(machine)
		silence := c.now.Steady - session.lastReportAt
		elsewhere := m != nil && m.Node != c.cfg.Node
		switch {
		case elsewhere || silence > c.leaseTime()+2*c.reportInterval() || c.cordons.isTerminated(machine):
			c.agents.remove(machine)
		case m != nil && c.isProbeDue(session, m):
			session.lastProbeAt = c.now.Steady
			session.probeDue = true
			c.deliverTo(machine, session)
		}
	}
}

// isProbeDue tells whether an agent is to be asked for a report, since none comes. It is
// asked no more often than it would report.
func (c *Core) isProbeDue(session *agentSession, m *worker.Machine) bool {
	return c.reportOverdue(m) && !session.unanswered && c.now.Steady-session.lastProbeAt >= c.reportInterval()
}

// reportOverdue tells whether a machine's reports don't come, though it may answer direct
// calls. Such a machine is probed, so that the ends of its tasks are known, and gets nothing
// new, which would be lost when its lease ends (docs/incidents/mute.md).
func (c *Core) reportOverdue(m *worker.Machine) bool {
	return c.now.Steady-m.LastReport >= 2*c.reportInterval()+c.reportInterval()/2
}
