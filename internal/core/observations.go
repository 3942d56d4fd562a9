package core

import (
	"pepperlever/internal/core/worker"
)

// shareObservation passes an observation to every controller, this one included.
func (c *Core) shareObservation(o Observation) {
	c.queueObservation(o)
	c.applyObservation(o)
}

// applyObservation takes a report that any controller has passed on.
func (c *Core) applyObservation(o Observation) {
	report := &o.Report
	if c.cordons.isTerminated(report.Machine) {
		return // a late copy: the cloud has taken the machine with all that was on it
	}
	m := c.machines.Get(report.Machine)
	if m == nil {
		c.noteProvisioned(report)
		m = c.addMachine(report.Machine)
	} else if !m.IsNewer(report) {
		c.applyNewerToken(m, &o)
		return
	}
	if m.Node != o.Node || m.GrantedToken != o.Token || len(m.Tasks) != len(report.Tasks) {
		c.requestRound()
	}
	m.Node, m.GrantedToken = o.Node, o.Token
	c.trackReachability(m, &o)
	c.attributeFailures(m, report)
	c.recordArrival(report.Machine, o.Node)
	m.Update(*report, c.now.Steady)
	c.machines.RecordContact(m, o.Direct, c.now.Steady)
	c.machines.InvalidateLoad(report.Machine)
	c.reconciler.reconcileMachine(m)
}

// applyNewerToken takes from a report that is known already that its machine has been given a
// newer token.
func (c *Core) applyNewerToken(m *worker.Machine, o *Observation) {
	if m.Session == o.Report.Session && o.Token > m.GrantedToken {
		m.Node, m.GrantedToken = o.Node, o.Token
		c.requestRound()
	}
}

// trackReachability follows whether a machine receives what it is answered.
func (c *Core) trackReachability(m *worker.Machine, o *Observation) {
	before := m.IsUnreachable()
	m.RecordAnswer(o.Report.Token, o.Token)
	if m.IsUnreachable() == before {
		return
	}
	c.requestRound()
	if o.Node != c.cfg.Node {
		return
	}
	if before {
		c.log(Info, "machine receives its answers again", "machine", m.Machine)
	} else {
		c.log(Info, "machine does not receive its answers", "machine", m.Machine)
	}
}
