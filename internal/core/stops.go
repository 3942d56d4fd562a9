package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// stopTask requests a task to stop within a grace period, in which it can save its state. While the
// caller keeps calling it, the request is repeated once per report interval.
func (r *reconciler) stopTask(j *job.Job, i int, b *job.Binding, graceS float64) {
	if b.Stopping && r.now.Steady-b.StopSent < r.reportInterval() {
		return
	}
	b.Stopping, b.StopSent = true, r.now.Steady
	r.sendStop(j, i, b, graceS)
}

// sendStop sends a single stop command, regardless of whether this node leads the task's team.
func (r *reconciler) sendStop(j *job.Job, i int, b *job.Binding, graceS float64) {
	if m := r.core.machines.Get(b.Machine); m != nil {
		r.sendCommand(m.Node, b.Machine, stopCommand(j.TaskID(i), b.Attempt, graceS))
	}
}

// stopOrForgetTask requests that the worker forget a task that has exited, or stop one that has not.
func (r *reconciler) stopOrForgetTask(m *worker.Machine, t protocol.TaskReport) {
	if t.State != protocol.Exited {
		r.sendCommand(m.Node, m.Machine, stopCommand(t.Task, t.Attempt, 0))
		return
	}
	if m.RequestForget(t.Task, t.Attempt, r.now.Steady, exitReshareIntervals*r.reportInterval()) {
		r.sendCommand(m.Node, m.Machine, forgetCommand(taskAttempt{t.Task, t.Attempt}))
	}
}

func forgetCommand(attempt taskAttempt) protocol.Command {
	return protocol.Command{Op: protocol.OpForget, Task: attempt.task, Attempt: attempt.attempt}
}

func stopCommand(task string, attempt uint64, graceS float64) protocol.Command {
	return protocol.Command{Op: protocol.OpStop, Task: task, Attempt: attempt, GraceS: &graceS}
}

// sendCommand sends a command for a machine to the machine's controller.
func (r *reconciler) sendCommand(node, machine string, command protocol.Command) {
	r.core.sendTo(node, PeerMessage{Command: &TaskCommand{Machine: machine, Command: command}})
}
