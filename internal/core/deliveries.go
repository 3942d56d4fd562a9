package core

import (
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// queueCommand queues a stop or forget for an agent. Stops go out at the end of the step.
func (a *agentController) queueCommand(o TaskCommand) {
	session := a.session(o.Machine)
	if session == nil {
		return
	}
	session.queuedCommands[taskAttempt{o.Command.Task, o.Command.Attempt}] = o.Command
	if o.Command.Op == protocol.OpStop {
		a.scheduleDelivery(o.Machine)
	}
}

// deliverAll sends the starts and stops that this step has queued.
func (a *agentController) deliverAll() {
	for machine := range ordered(a.dueDeliveries) {
		if session := a.session(machine); session != nil {
			a.deliverTo(machine, session)
		}
		delete(a.dueDeliveries, machine)
	}
}

// deliverTo sends what is queued for an agent. One delivery is under way at a time.
func (a *agentController) deliverTo(machine string, session *agentSession) {
	idle := len(session.queuedStarts) == 0 && len(session.queuedCommands) == 0 && !session.probeDue
	if session.delivering || idle {
		return
	}
	a.dropCancelledStarts(session)
	commands := append(session.takeCommands(), session.queuedStarts...)
	session.queuedStarts = nil
	session.delivering = true
	session.probeDue = false
	a.emit(Deliver{
		Machine: machine,
		Address: session.address,
		Orders:  protocol.Orders{Token: session.token, Session: session.epoch, Commands: commands},
	})
}

// dropCancelledStarts drops queued starts of jobs that have been cancelled since: a stop that
// goes out with a start would be carried out before it.
func (a *agentController) dropCancelledStarts(session *agentSession) {
	session.queuedStarts = slices.DeleteFunc(session.queuedStarts, func(start protocol.Command) bool {
		drop := a.isOfCancelledJob(start.Task)
		if drop {
			delete(session.pendingStarts, taskAttempt{start.Task, start.Attempt})
		}
		return drop
	})
}

// handleDelivery takes the outcome of a delivery. Without an answer its starts may yet be
// carried out, so the agent's token is raised above theirs. Starts that were turned down
// never are.
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
		for _, command := range d.Orders.Commands {
			delete(session.pendingStarts, taskAttempt{command.Task, command.Attempt})
		}
	}
	if d.Report == nil {
		a.deliveryUnanswered(session, d)
		return
	}
	if !d.Executed {
		a.refuseStarts(d)
	}
	a.deliverTo(d.Machine, session)
}

// deliveryUnanswered fences the starts of a delivery that got no answer. Without a start
// nothing is unresolved: a machine that hangs costs one token, not one for each probe.
func (a *agentController) deliveryUnanswered(session *agentSession, d DeliveryResult) {
	session.unanswered = true
	a.log(Info, "delivery got no answer", "machine", d.Machine, "commands", len(d.Orders.Commands))
	if slices.ContainsFunc(d.Orders.Commands, isStart) {
		a.fence(Fence{Machine: d.Machine, Above: d.Orders.Token})
	}
}

func isStart(command protocol.Command) bool { return command.Op == protocol.OpStart }

// refuseStarts tells the leaders of starts that the agent has turned down with all that was
// delivered beside them.
func (a *agentController) refuseStarts(d DeliveryResult) {
	for _, command := range d.Orders.Commands {
		if !isStart(command) {
			continue
		}
		id, _, _ := job.ParseTaskID(command.Task)
		j := a.core.jobs[id]
		if j == nil {
			continue
		}
		if t := a.core.teamBy[j.Team]; t != nil {
			refusal := Refusal{Machine: d.Machine, Task: command.Task, Attempt: command.Attempt}
			a.core.sendTo(t.leader, PeerMessage{Refusal: &refusal})
		}
	}
}
