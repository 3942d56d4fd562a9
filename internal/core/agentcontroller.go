package core

// agentController is this node's part as the controller of machines: it answers the heartbeats
// of their agents, delivers commands to them, and fences what it can't be sure of. All that it
// sends to an agent is under the fencing token of the agent's session.
type agentController struct {
	core *Core
	agentSessions
	tokens       fencingTokens
	startLedgers startLedgers
}

func newAgentController(c *Core) *agentController {
	return &agentController{
		core:          c,
		agentSessions: newAgentSessions(),
		tokens:        newFencingTokens(),
		startLedgers:  newStartLedgers(),
	}
}
