package core

import (
	"pepperlever/internal/core/worker"
)

// shareObservation sends an observation to all controllers, including this one.
func (c *Core) shareObservation(o Observation) {
	c.queueObservation(o)
	c.applyObservation(o)
}

// applyObservation processes a report that was shared by any controller.
func (c *Core) applyObservation(o Observation) {
	report := &o.Report
	if c.cordons.isTerminated(report.Machine) {
		return // a delayed duplicate: the machine has been terminated, with everything on it
	}
	m := c.machines.Get(report.Machine)
	if m == nil {
		c.recordProvisioned(report)
		m = c.addMachine(report.Machine)
	} else if !m.IsNewer(report) {
		c.applyNewerToken(m, &o)
		return
	}
	if m.Node != o.Node || m.GrantedToken != o.Token || len(m.Tasks) != len(report.Tasks) {
		c.requestRound()
	}
	m.AssignTo(o.Node, o.Token)
	c.trackReachability(m, &o)
	c.attributeFailures(m, report)
	c.recordArrival(report.Machine, o.Node)
	m.Update(*report, c.now.Steady)
	c.reportReappeared(m)
	c.machines.RecordContact(m, o.Direct, c.now.Steady)
	c.machines.InvalidateLoad(report.Machine)
	c.reconciler.reconcileMachine(m)
}

// applyNewerToken updates a machine whose report is already known, but whose worker has been granted
// a newer token.
func (c *Core) applyNewerToken(m *worker.Machine, o *Observation) {
	if m.WorkerEpoch == o.Report.WorkerEpoch && o.Token > m.GrantedToken {
		m.AssignTo(o.Node, o.Token)
		c.requestRound()
	}
}

// trackReachability tracks whether a machine receives the answers to its reports.
func (c *Core) trackReachability(m *worker.Machine, o *Observation) {
	wasUnreachable := m.IsUnreachable()
	m.RecordAnswer(o.Report.Token, o.Token)
	if m.IsUnreachable() == wasUnreachable {
		return
	}
	c.requestRound()
	if o.Node != c.cfg.Node {
		return
	}
	if wasUnreachable {
		c.log(Info, "machine receives its answers again", "machine", m.Machine)
	} else {
		c.log(Info, "machine does not receive its answers", "machine", m.Machine)
	}
}

// taskReappeared is the text of the log message about an attempt that a machine reports after its end.
const taskReappeared = "ended task is on its machine again"

// reportReappeared logs the attempts that a machine reports although they had ended, with what this node
// knows of the machine.
func (c *Core) reportReappeared(m *worker.Machine) {
	for _, i := range m.TakeReappeared() {
		t := m.Tasks[i]
		c.counters.ReappearedTasks++
		c.log(Error, taskReappeared, "task", t.Task, "attempt", t.Attempt, "state", t.State,
			"machine", m.Machine, "epoch", m.WorkerEpoch, "token", m.Token, "node", m.Node, "history", m.History())
	}
}
