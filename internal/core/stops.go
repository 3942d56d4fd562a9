package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// stopTask asks for a task to end, with grace to save, and repeats it until a
// report shows the end.
func (c *Core) stopTask(j *job.Job, i int, b *job.Binding, grace float64) {
	if b.Stopping && c.now.Steady-b.StopSent < c.reportInterval() {
		return
	}
	b.Stopping, b.StopSent = true, c.now.Steady
	c.sendStop(j, i, b, grace)
}

// sendStop sends one order to stop a task, whoever is the home of its team.
func (c *Core) sendStop(j *job.Job, i int, b *job.Binding, grace float64) {
	if m := c.machines.Get(b.Machine); m != nil {
		cmd := protocol.Command{Op: protocol.OpStop, Task: j.TaskID(i), Attempt: b.Attempt, GraceS: &grace}
		c.sendTo(m.Node, PeerMessage{Command: &TaskCommand{Machine: b.Machine, Command: cmd}})
	}
}

// evictBeforeReclaim stops tasks that can save before their machine is taken away, and the
// rest of a gang that has lost a task: it starts again whole. A gang is stopped
// as one, so that its progress is saved.
func (c *Core) evictBeforeReclaim(j *job.Job) {
	whole := j.Kind == job.Gang && j.Waiting() > 0 && j.Done.Len() == 0
	if j.Kind == job.Gang {
		for _, b := range j.Bound {
			whole = whole || c.mustSaveNow(j, b)
		}
	}
	for i, b := range ordered(j.Bound) {
		if b.Sent && (whole || c.mustSaveNow(j, b) || c.finishesTooLate(j, i, b)) {
			c.stopTask(j, i, b, j.SaveS)
		}
	}
}

// finishesTooLate tells whether a task that can't save will hardly end before its
// machine is taken away, so that it had better start elsewhere at once. Owners'
// estimates are often wrong by half.
func (c *Core) finishesTooLate(j *job.Job, i int, b *job.Binding) bool {
	m := c.machines.Get(b.Machine)
	if m == nil || m.ReclaimAt == 0 || j.CheckpointS > 0 || j.Kind != job.Array {
		return false
	}
	ran := m.RunningTime(j.TaskID(i), b.Attempt, c.now.Steady)
	return seconds(j.EstimateS)-ran > 2*(m.ReclaimAt-c.now.Steady)
}

// mustSaveNow tells whether a task's machine is about to be taken away, with just
// enough time left to save.
func (c *Core) mustSaveNow(j *job.Job, b *job.Binding) bool {
	m := c.machines.Get(b.Machine)
	return m != nil && m.ReclaimAt > 0 && j.CheckpointS > 0 &&
		m.ReclaimAt-c.now.Steady < seconds(j.SaveS)+2*c.reportInterval()
}
