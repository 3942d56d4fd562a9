package core

import (
	"iter"
	"time"

	"pepperlever/internal/core/worker"
)

// agentController serves the workers that report to this node: it answers their reports, delivers
// commands to them, and raises a worker's fencing token if the outcome of a start command is unknown.
// Everything that it sends to a worker carries the fencing token of the worker's agent session.
type agentController struct {
	core *Core
	*environment
	agentSessions
	tokens       fencingTokens
	startLedgers startLedgers
	// reportsTakenAt is the time of the last call of takeReported.
	reportsTakenAt time.Duration
}

func newAgentController(c *Core) *agentController {
	return &agentController{
		core:          c,
		environment:   c.environment,
		agentSessions: newAgentSessions(),
		tokens:        newFencingTokens(),
		startLedgers:  newStartLedgers(),
	}
}

// ownMachines yields the machines that report to this node, and not to a newer controller, with
// their agent sessions, ordered by machine.
func (a *agentController) ownMachines() iter.Seq2[*agentSession, *worker.Machine] {
	return func(yield func(*agentSession, *worker.Machine) bool) {
		for machine, session := range a.all() {
			m := a.core.machines.Get(machine)
			if m != nil && m.Node == a.cfg.Node && !yield(session, m) {
				return
			}
		}
	}
}

// takeReported returns the machines that have reported since the last call, and the sequence
// numbers of their newest reports.
func (a *agentController) takeReported() (machines []string, seqs []uint64) {
	for _, m := range a.ownMachines() {
		if m.LastReport.After(a.reportsTakenAt) {
			machines = append(machines, m.Machine)
			seqs = append(seqs, m.Seq)
		}
	}
	a.reportsTakenAt = a.now.Steady
	return machines, seqs
}
