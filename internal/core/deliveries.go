package core

import (
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// queueCommand queues a stop or forget command for a worker. Stops go out at the end of the step, forgets
// once the worker's token is high enough.
func (a *agentController) queueCommand(o TaskCommand) {
	session := a.session(o.Machine)
	if session == nil {
		return
	}
	attempt := taskAttempt{o.Command.Task, o.Command.Attempt}
	if o.Command.Op == protocol.OpForget {
		a.forgetOrHold(o.Machine, session, attempt)
		return
	}
	session.queuedCommands[attempt] = o.Command
	a.recordCommand(o.Machine, o.Command)
	if o.Command.Op == protocol.OpStop {
		a.scheduleDelivery(o.Machine)
	}
}

// eventOf holds the event that a command of each kind is recorded as.
var eventOf = map[string]worker.EventKind{
	protocol.OpStart:  worker.StartSent,
	protocol.OpStop:   worker.StopSent,
	protocol.OpForget: worker.ForgetSent,
}

// recordCommand adds a command for a worker to the history of its machine.
func (a *agentController) recordCommand(machine string, command protocol.Command) {
	if m := a.core.machines.Get(machine); m != nil {
		m.RecordEvent(eventOf[command.Op], command.Task, command.Attempt, a.now.Steady)
	}
}

// deliverAll makes the deliveries that this step has scheduled.
func (a *agentController) deliverAll() {
	for machine := range ordered(a.dueDeliveries) {
		if session := a.session(machine); session != nil {
			a.deliverTo(machine, session)
		}
		delete(a.dueDeliveries, machine)
	}
}

// deliverTo sends everything that is queued for a worker. Only one delivery is in flight at a time.
func (a *agentController) deliverTo(machine string, session *agentSession) {
	idle := len(session.queuedStarts) == 0 && len(session.queuedCommands) == 0 && !session.probeDue
	if session.delivering || idle {
		return
	}
	a.dropCancelledStarts(session)
	for _, start := range session.queuedStarts {
		a.recordCommand(machine, start)
	}
	commands := append(session.takeCommands(), session.queuedStarts...)
	session.queuedStarts = nil
	session.delivering = true
	session.probeDue = false
	a.emit(Deliver{
		Machine:      machine,
		Address:      session.address,
		CommandBatch: protocol.CommandBatch{Token: session.token, WorkerEpoch: session.epoch, Commands: commands},
	})
}

// dropCancelledStarts drops queued starts of jobs that have since been cancelled. A worker executes the
// stop commands of a delivery before its start commands, so it would start the tasks nevertheless.
func (a *agentController) dropCancelledStarts(session *agentSession) {
	session.queuedStarts = slices.DeleteFunc(session.queuedStarts, func(start protocol.Command) bool {
		drop := a.belongsToCancelledJob(start.Task)
		if drop {
			delete(session.pendingStarts, taskAttempt{start.Task, start.Attempt})
		}
		return drop
	})
}

// handleDelivery processes the outcome of a delivery. If the worker did not answer, it may still
// execute the start commands, so its token is raised above theirs. Start commands that the worker has
// rejected are never executed: the leaders of their jobs are informed.
func (a *agentController) handleDelivery(d DeliveryResult) {
	session := a.session(d.Machine)
	if session == nil {
		return
	}
	session.delivering = false
	if d.Report != nil && d.Report.Machine == d.Machine && d.Report.Token <= session.token {
		a.handleReport(session, *d.Report, true)
	}
	if !d.Executed {
		for _, command := range d.CommandBatch.Commands {
			delete(session.pendingStarts, taskAttempt{command.Task, command.Attempt})
		}
	}
	if d.Report == nil {
		a.handleUnanswered(session, d)
		return
	}
	if !d.Executed {
		a.reportRejectedStarts(d)
	}
	a.deliverTo(d.Machine, session)
}

// handleUnanswered fences the start commands of a delivery that got no answer. A delivery without
// start commands needs no fence, so a hung machine costs one token rather than one per probe.
func (a *agentController) handleUnanswered(session *agentSession, d DeliveryResult) {
	session.unanswered = true
	a.log(Info, "delivery got no answer", "machine", d.Machine, "commands", len(d.CommandBatch.Commands))
	if slices.ContainsFunc(d.CommandBatch.Commands, isStart) {
		a.fence(Fence{Machine: d.Machine, Above: d.CommandBatch.Token})
	}
}

func isStart(command protocol.Command) bool { return command.Op == protocol.OpStart }

// reportRejectedStarts informs the leaders of starts that the worker has rejected together
// with the rest of the delivery.
func (a *agentController) reportRejectedStarts(d DeliveryResult) {
	for _, command := range d.CommandBatch.Commands {
		if !isStart(command) {
			continue
		}
		id, _, _ := job.ParseTaskID(command.Task)
		j := a.core.jobs[id]
		if j == nil {
			continue
		}
		if t := a.core.teamsByName[j.Team]; t != nil {
			refusal := Refusal{Machine: d.Machine, Task: command.Task, Attempt: command.Attempt}
			a.core.sendTo(t.leader, PeerMessage{Refusal: &refusal})
		}
	}
}
