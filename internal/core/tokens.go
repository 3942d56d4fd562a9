package core

import (
	"github.com/segmentio/encoding/json"

	"pepperlever/internal/protocol"
)

// fencingTokens holds this node's fencing token and what waits for a newer one. Tokens come
// from a counter in the store. A worker obeys only commands under the highest token that it
// has seen, so raising an agent's token voids all starts under lower ones.
type fencingTokens struct {
	// current is the newest token of this node, 0 before the first.
	current uint64
	// acquired holds all tokens that this run of the process has acquired.
	acquired  map[uint64]bool
	acquiring bool
	// waitingHeartbeats are those of agents that have seen a newer token than the current one.
	waitingHeartbeats []Heartbeat
	// pendingRaises holds, by machine, the token above which its agent's has to be raised.
	pendingRaises map[string]uint64
}

func newFencingTokens() fencingTokens {
	return fencingTokens{acquired: map[uint64]bool{}, pendingRaises: map[string]uint64{}}
}

// takeWaitingHeartbeats hands out the heartbeats that wait for a newer token.
func (t *fencingTokens) takeWaitingHeartbeats() []Heartbeat {
	waiting := t.waitingHeartbeats
	t.waitingHeartbeats = nil
	return waiting
}

// acquireToken takes the next token from the counter in the store, by one conditional write,
// for all agents that wait for one.
func (c *Core) acquireToken() {
	if c.tokens.acquiring {
		return
	}
	c.tokens.acquiring = true
	c.get(keyToken, func(r StoreReply) {
		var counter tokenCounter
		switch r.Outcome {
		case Missing:
		case Applied:
			if err := json.Unmarshal(r.Item.Value, &counter); err != nil {
				c.tokenUnavailable()
				return
			}
		default:
			c.tokenUnavailable()
			return
		}
		c.writeToken(counter.Token+1, r.Item.Version)
	})
}

// writeToken writes a token to the counter if that still has the given version.
func (c *Core) writeToken(token, version uint64) {
	next := tokenCounter{Token: token, Node: c.cfg.Node, Incarnation: c.members.incarnation}
	txn := protocol.Txn{
		If:   []protocol.Condition{{Key: keyToken, Version: version}},
		Then: []protocol.Change{putJSON(keyToken, next)},
	}
	c.compareAndSwap(txn, true, func(r StoreReply) {
		c.tokens.acquiring = false
		switch r.Outcome {
		case Applied:
			c.tokenAcquired(token)
		case Conflict, Unknown:
			// Another node has the token, or nobody knows who has: take the next.
			c.acquireToken()
		default:
			c.tokenUnavailable()
		}
	})
}

// tokenUnavailable sends the waiting agents to other controllers.
func (c *Core) tokenUnavailable() {
	c.tokens.acquiring = false
	for _, heartbeat := range c.tokens.takeWaitingHeartbeats() {
		c.replyUnavailable(heartbeat.Req)
	}
}

// tokenAcquired makes a token the current one, for all agents that wait for it.
func (c *Core) tokenAcquired(token uint64) {
	c.tokens.current = token
	c.tokens.acquired[token] = true
	c.log(Info, "fencing token acquired", "token", token)
	waiting := c.tokens.takeWaitingHeartbeats()
	for machine, above := range ordered(c.tokens.pendingRaises) {
		if session := c.agents.session(machine); session != nil && session.token <= above {
			c.raiseToken(machine, session)
		}
	}
	clear(c.tokens.pendingRaises)
	for _, heartbeat := range waiting {
		c.handleHeartbeat(heartbeat)
	}
}

// raiseToken moves an agent to the current token and tells it at once.
func (c *Core) raiseToken(machine string, session *agentSession) {
	session.setToken(c.tokens.current)
	session.probeDue = true
	// Leaders must not bind under the token before any more.
	if m := c.machines.Get(machine); m != nil {
		c.shareObservation(Observation{Node: c.cfg.Node, Token: session.token, Report: m.Report})
	}
	c.deliverTo(machine, session)
}

// fence raises an agent's token above one under which a start is unresolved.
func (c *Core) fence(f Fence) {
	session := c.agents.session(f.Machine)
	if session == nil || session.token > f.Above {
		return
	}
	if c.tokens.current > f.Above && c.tokens.current > session.token {
		c.raiseToken(f.Machine, session)
		return
	}
	c.tokens.pendingRaises[f.Machine] = max(c.tokens.pendingRaises[f.Machine], f.Above)
	c.acquireToken()
}

// retryPendingRaises asks for a token again if it was not to be had before: the leaders that
// asked for a fence may not be heard any more.
func (c *Core) retryPendingRaises() {
	if len(c.tokens.pendingRaises) > 0 {
		c.acquireToken()
	}
}
