package core

import (
	"iter"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// agentSession is what this node keeps of the agent of a machine that reports to it.
type agentSession struct {
	// token is the fencing token under which the agent acts, epoch the agent's own count
	// of how often it has started over.
	token   uint64
	epoch   uint64
	address string
	// pendingStarts holds what the tasks take whose starts no report has shown yet.
	pendingStarts map[taskAttempt]job.Resources
	// queuedStarts waits for the next delivery, queuedCommands for the next delivery or
	// answer to a heartbeat.
	queuedStarts   []protocol.Command
	queuedCommands map[taskAttempt]protocol.Command
	// delivering is set while a delivery is under way, unanswered from a delivery without
	// an answer to the next report.
	delivering bool
	unanswered bool
	// probeDue asks for a delivery even if nothing is queued, for the report in its answer.
	probeDue bool
	// lastReportAt is when the agent's last report came, lastProbeAt when it was last asked
	// for one because none came.
	lastReportAt, lastProbeAt time.Duration
	// lastSharedAt is when a report of it was last passed on to the other controllers.
	lastSharedAt time.Duration
}

func newAgentSession(token, epoch uint64, address string) *agentSession {
	return &agentSession{
		token:          token,
		epoch:          epoch,
		address:        address,
		pendingStarts:  map[taskAttempt]job.Resources{},
		queuedCommands: map[taskAttempt]protocol.Command{},
	}
}

// startEpoch drops what was meant for an earlier epoch of the agent.
func (s *agentSession) startEpoch(epoch uint64) {
	s.epoch = epoch
	s.queuedStarts = nil
	s.pendingStarts = map[taskAttempt]job.Resources{}
}

// setToken moves the agent to a newer token. Starts under the token before are void.
func (s *agentSession) setToken(token uint64) {
	s.token = token
	s.queuedStarts = nil
	clear(s.pendingStarts)
}

// hasShared tells whether a report of this session was passed on to the other controllers.
func (s *agentSession) hasShared() bool { return s.lastSharedAt > 0 }

// isBusy tells whether anything is queued, under way, or not reported yet.
func (s *agentSession) isBusy() bool {
	return s.delivering || len(s.queuedStarts)+len(s.queuedCommands)+len(s.pendingStarts) > 0
}

// queueStart queues the start of a task, whose room is taken from now on.
func (s *agentSession) queueStart(attempt taskAttempt, need job.Resources) {
	s.pendingStarts[attempt] = need
	s.queuedStarts = append(s.queuedStarts, protocol.Command{
		Op:      protocol.OpStart,
		Task:    attempt.task,
		Attempt: attempt.attempt,
	})
}

// takeCommands hands out the queued stops and forgets. They are repeatable, and queued
// again while the reports show that they are still needed.
func (s *agentSession) takeCommands() []protocol.Command {
	commands := make([]protocol.Command, 0, len(s.queuedCommands))
	for attempt, command := range orderedBy(s.queuedCommands, compareAttempts) {
		commands = append(commands, command)
		delete(s.queuedCommands, attempt)
	}
	return commands
}

// agentSessions holds the sessions of the agents that report to this node.
type agentSessions struct {
	byMachine map[string]*agentSession
	// dueDeliveries names the machines for which something was queued in this step that
	// goes out at its end.
	dueDeliveries map[string]bool
}

func newAgentSessions() agentSessions {
	return agentSessions{byMachine: map[string]*agentSession{}, dueDeliveries: map[string]bool{}}
}

// session returns the session of a machine's agent, or nil if it does not report here.
func (a *agentSessions) session(machine string) *agentSession { return a.byMachine[machine] }

// all visits the sessions in the order of their machines.
func (a *agentSessions) all() iter.Seq2[string, *agentSession] { return ordered(a.byMachine) }

func (a *agentSessions) add(machine string, s *agentSession) { a.byMachine[machine] = s }

func (a *agentSessions) remove(machine string) { delete(a.byMachine, machine) }

// scheduleDelivery has what is queued for a machine delivered at the end of the step.
func (a *agentSessions) scheduleDelivery(machine string) { a.dueDeliveries[machine] = true }
