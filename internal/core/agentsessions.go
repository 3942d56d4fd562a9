package core

import (
	"iter"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// agentSession is the state that this node keeps for a worker that reports to it.
type agentSession struct {
	// token is the fencing token under which the worker acts. epoch is the worker epoch: the
	// worker's count of how often it has started over without any tasks.
	token   uint64
	epoch   uint64
	address string
	// pendingStarts holds the resources of the tasks whose start is queued or sent, and that no
	// report has shown yet.
	pendingStarts map[taskAttempt]job.Resources
	// queuedStarts holds start commands for the next delivery. queuedCommands holds stop and forget
	// commands for the next delivery or the next answer to a heartbeat.
	queuedStarts   []protocol.Command
	queuedCommands map[taskAttempt]protocol.Command
	// heldForgets holds the exited attempts that the worker may forget only under a higher token than the
	// session's. forgetsHeldSince is when the first of them was held.
	heldForgets      map[taskAttempt]bool
	forgetsHeldSince time.Duration
	// delivering is set while a delivery is in flight. unanswered is set when a delivery gets no
	// answer, and cleared by the worker's next report.
	delivering bool
	unanswered bool
	// probeDue requests a delivery even if nothing is queued, to get the report in its answer.
	probeDue bool
	// lastReportAt is when the worker's last report arrived. lastProbeAt is when the worker was
	// last probed because its report was overdue.
	lastReportAt, lastProbeAt time.Duration
	// lastSharedAt is when a report of the worker was last sent to the other controllers.
	lastSharedAt time.Duration
}

func newAgentSession(token, epoch uint64, address string) *agentSession {
	return &agentSession{
		token:          token,
		epoch:          epoch,
		address:        address,
		pendingStarts:  map[taskAttempt]job.Resources{},
		queuedCommands: map[taskAttempt]protocol.Command{},
		heldForgets:    map[taskAttempt]bool{},
	}
}

// startEpoch moves the session to a new worker epoch and drops the commands that were meant for an
// earlier one.
func (s *agentSession) startEpoch(epoch uint64) {
	s.epoch = epoch
	clear(s.heldForgets)
	s.queuedStarts = nil
	s.pendingStarts = map[taskAttempt]job.Resources{}
}

// setToken moves the session to a newer token and drops the starts under the previous one, which are
// no longer valid.
func (s *agentSession) setToken(token uint64) {
	s.token = token
	s.queuedStarts = nil
	clear(s.pendingStarts)
}

// hasSharedReport reports whether a report of this session was sent to the other controllers.
func (s *agentSession) hasSharedReport() bool { return s.lastSharedAt > 0 }

// isBusy reports whether anything is queued, in flight, or not yet shown by a report.
func (s *agentSession) isBusy() bool {
	return s.delivering || len(s.queuedStarts)+len(s.queuedCommands)+len(s.pendingStarts) > 0
}

// queueStart queues the start of a task and counts its resources as used from now on.
func (s *agentSession) queueStart(attempt taskAttempt, need job.Resources) {
	s.pendingStarts[attempt] = need
	s.queuedStarts = append(s.queuedStarts, protocol.Command{
		Op:      protocol.OpStart,
		Task:    attempt.task,
		Attempt: attempt.attempt,
	})
}

// takeCommands removes and returns the queued stop and forget commands. A stop may be repeated. A forget
// makes the worker start its attempt again if the start is repeated, so only those that
// worker.Machine.MayForget allows are queued. Both are queued again while reports show that they are
// still needed.
func (s *agentSession) takeCommands() []protocol.Command {
	commands := make([]protocol.Command, 0, len(s.queuedCommands))
	for attempt, command := range orderedBy(s.queuedCommands, compareAttempts) {
		commands = append(commands, command)
		delete(s.queuedCommands, attempt)
	}
	return commands
}

// agentSessions holds the sessions of the workers that report to this node.
type agentSessions struct {
	byMachine map[string]*agentSession
	// dueDeliveries holds the machines for which something has been queued that goes out at the
	// end of this step.
	dueDeliveries map[string]bool
}

func newAgentSessions() agentSessions {
	return agentSessions{byMachine: map[string]*agentSession{}, dueDeliveries: map[string]bool{}}
}

// session returns the session of a machine's worker, or nil if the worker does not report here.
func (a *agentSessions) session(machine string) *agentSession { return a.byMachine[machine] }

// all yields the sessions ordered by machine.
func (a *agentSessions) all() iter.Seq2[string, *agentSession] { return ordered(a.byMachine) }

func (a *agentSessions) add(machine string, s *agentSession) { a.byMachine[machine] = s }

func (a *agentSessions) remove(machine string) { delete(a.byMachine, machine) }

// scheduleDelivery schedules a delivery to a machine for the end of the step.
func (a *agentSessions) scheduleDelivery(machine string) { a.dueDeliveries[machine] = true }
