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
