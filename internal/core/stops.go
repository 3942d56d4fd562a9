package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// stopTask asks for a task to end, with grace to save, and repeats it until a report shows the
// end.
func (c *Core) stopTask(j *job.Job, i int, b *job.Binding, graceS float64) {
	if b.Stopping && c.now.Steady-b.StopSent < c.reportInterval() {
		return
	}
	b.Stopping, b.StopSent = true, c.now.Steady
	c.sendStop(j, i, b, graceS)
}

// sendStop sends one command to stop a task, whoever leads its team.
func (c *Core) sendStop(j *job.Job, i int, b *job.Binding, graceS float64) {
	if m := c.machines.Get(b.Machine); m != nil {
		c.sendCommand(m.Node, b.Machine, stopCommand(j.TaskID(i), b.Attempt, graceS))
	}
}

// stopOrForgetTask has a task forgotten by its worker if it has exited, or else stopped.
func (c *Core) stopOrForgetTask(m *worker.Machine, t protocol.TaskReport) {
	command := stopCommand(t.Task, t.Attempt, 0)
	if t.State == protocol.Exited {
		command = protocol.Command{Op: protocol.OpForget, Task: t.Task, Attempt: t.Attempt}
	}
	c.sendCommand(m.Node, m.Machine, command)
}

func stopCommand(task string, attempt uint64, graceS float64) protocol.Command {
	return protocol.Command{Op: protocol.OpStop, Task: task, Attempt: attempt, GraceS: &graceS}
}

// sendCommand sends a command for a machine to its controller.
func (c *Core) sendCommand(node, machine string, command protocol.Command) {
	c.sendTo(node, PeerMessage{Command: &TaskCommand{Machine: machine, Command: command}})
}

// evictBeforeReclaim stops tasks that can save before their machine is taken away, and the
// rest of a gang that has lost a task: it starts again whole. A gang is stopped as one, so that
// its progress is saved.
func (c *Core) evictBeforeReclaim(j *job.Job) {
	stopAll := j.Kind == job.Gang && c.mustRestartGang(j)
	for i, b := range ordered(j.Bound) {
		if b.Sent && (stopAll || c.mustSaveNow(j, b) || c.finishesTooLate(j, i, b)) {
			c.stopTask(j, i, b, j.SaveS)
		}
	}
}

// mustRestartGang tells whether a gang has lost a task or is about to lose one.
func (c *Core) mustRestartGang(j *job.Job) bool {
	if j.PendingTasks() > 0 && j.Done.Len() == 0 {
		return true
	}
	for _, b := range j.Bound {
		if c.mustSaveNow(j, b) {
			return true
		}
	}
	return false
}

// estimateTolerance is by what factor owners' estimates of how long a task takes are trusted.
const estimateTolerance = 2

// finishesTooLate tells whether a task that can't save will hardly end before its machine is
// taken away, so that it had better start elsewhere at once.
func (c *Core) finishesTooLate(j *job.Job, i int, b *job.Binding) bool {
	m := c.machines.Get(b.Machine)
	if m == nil || m.ReclaimAt == 0 || j.CheckpointS > 0 || j.Kind != job.Array {
		return false
	}
	ran := m.RunningTime(j.TaskID(i), b.Attempt, c.now.Steady)
	return seconds(j.EstimateS)-ran > estimateTolerance*(m.ReclaimAt-c.now.Steady)
}

// mustSaveNow tells whether a task's machine is about to be taken away, with just enough time
// left to save.
func (c *Core) mustSaveNow(j *job.Job, b *job.Binding) bool {
	m := c.machines.Get(b.Machine)
	if m == nil || m.ReclaimAt <= 0 || j.CheckpointS <= 0 {
		return false
	}
	return m.ReclaimAt-c.now.Steady < seconds(j.SaveS)+2*c.reportInterval()
}
