package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// stopTask asks for a task to end, with grace to save, and repeats it until a report shows the
// end.
func (r *reconciler) stopTask(j *job.Job, i int, b *job.Binding, graceS float64) {
	if b.Stopping && r.now.Steady-b.StopSent < r.reportInterval() {
		return
	}
	b.Stopping, b.StopSent = true, r.now.Steady
	r.sendStop(j, i, b, graceS)
}

// sendStop sends one command to stop a task, whoever leads its team.
func (r *reconciler) sendStop(j *job.Job, i int, b *job.Binding, graceS float64) {
	if m := r.core.machines.Get(b.Machine); m != nil {
		r.sendCommand(m.Node, b.Machine, stopCommand(j.TaskID(i), b.Attempt, graceS))
	}
}

// stopOrForgetTask has a task forgotten by its worker if it has exited, or else stopped.
func (r *reconciler) stopOrForgetTask(m *worker.Machine, t protocol.TaskReport) {
	command := stopCommand(t.Task, t.Attempt, 0)
	if t.State == protocol.Exited {
		command = protocol.Command{Op: protocol.OpForget, Task: t.Task, Attempt: t.Attempt}
	}
	r.sendCommand(m.Node, m.Machine, command)
}

func stopCommand(task string, attempt uint64, graceS float64) protocol.Command {
	return protocol.Command{Op: protocol.OpStop, Task: task, Attempt: attempt, GraceS: &graceS}
}

// sendCommand sends a command for a machine to its controller.
func (r *reconciler) sendCommand(node, machine string, command protocol.Command) {
	r.core.sendTo(node, PeerMessage{Command: &TaskCommand{Machine: machine, Command: command}})
}
