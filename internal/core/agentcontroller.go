package core

import (
	"iter"
	"time"

	"pepperlever/internal/core/worker"
)

// agentController serves the agents of the machines that report to this node: it answers their
// heartbeats, delivers commands to them, and fences starts whose outcome is unknown. Everything
// that it sends to an agent is under the fencing token of the agent's session.
type agentController struct {
	core *Core
	*environment
	agentSessions
	tokens       fencingTokens
	startLedgers startLedgers
	// reportsTakenAt is when takeReported was last called.
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
// the sessions of their agents, ordered by machine.
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
		if m.LastReport > a.reportsTakenAt {
			machines = append(machines, m.Machine)
			seqs = append(seqs, m.Seq)
		}
	}
	a.reportsTakenAt = a.now.Steady
	return machines, seqs
}
