package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// handleStaleAttempt deals with a reported task that no binding stands for. It can be
// forgotten once the store holds what became of it. An attempt later than this
// home has stored is another home's: this one has been deposed and was not told
// yet, since the state service is out of its reach. It used to stop whatever the
// new home started.
func (c *Core) handleStaleAttempt(j *job.Job, m *worker.Machine, t protocol.TaskReport) {
	if t.Attempt > j.StoredAttempt {
		return
	}
	if t.State != protocol.Exited || !j.Dirty() && !j.InFlight {
		c.stopOrForgetTask(m, t)
	}
}

// forgetEndedTasks has exited tasks forgotten whose end a store write has recorded.
func (c *Core) forgetEndedTasks(j *job.Job, exits []job.Exit) {
	for _, e := range exits {
		m := c.machines.Get(e.Machine)
		if m == nil {
			continue
		}
		t, there := m.Find(j.TaskID(e.Index), e.Attempt)
		if b := j.Bound[e.Index]; there && t.State == protocol.Exited && (b == nil || b.Attempt != e.Attempt) {
			c.stopOrForgetTask(m, t)
		}
	}
}

// stopOrForgetTask has a task forgotten by its worker if it has exited, or else stopped.
func (c *Core) stopOrForgetTask(m *worker.Machine, t protocol.TaskReport) {
	cmd := protocol.Command{Op: protocol.OpForget, Task: t.Task, Attempt: t.Attempt}
	if t.State != protocol.Exited {
		cmd = protocol.Command{Op: protocol.OpStop, Task: t.Task, Attempt: t.Attempt, GraceS: new(float64)}
	}
	c.sendTo(m.Node, PeerMessage{Command: &TaskCommand{Machine: m.Machine, Command: cmd}})
}

// handleOrphanTask deals with a task of a job that is not known as active: only the
// machine's controller acts, and only once the store says the job is final.
func (c *Core) handleOrphanTask(m *worker.Machine, t protocol.TaskReport, id string) {
	if m.Node != c.cfg.Node {
		return
	}
	if _, final := c.finalStates[id]; !final {
		if c.orphanLookups[id] {
			return
		}
		c.orphanLookups[id] = true
		c.lookUp(id, func(lookup.Result) { delete(c.orphanLookups, id) })
		return
	}
	c.stopOrForgetTask(m, t)
}
