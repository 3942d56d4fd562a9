package core

import (
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/protocol"
)

// fencingTokens holds this node's fencing token and the requests that wait for a newer one. Tokens
// come from a counter in the store. A worker obeys only commands under the highest token that it
// has seen, so once a worker's token is raised, start commands under lower ones have no effect.
type fencingTokens struct {
	// current is the newest token of this node, or 0 before the first. acquiredAt is when it was acquired.
	current    uint64
	acquiredAt time.Duration
	// acquired holds all tokens that this incarnation has acquired.
	acquired map[uint64]bool
	// acquiring is set while a token is being taken from the counter.
	acquiring bool
	// waitingHeartbeats holds the reports of workers that have seen a newer token than the
	// current one.
	waitingHeartbeats []Heartbeat
	// pendingRaises maps machines to the token above which their worker's token has to be
	// raised.
	pendingRaises map[string]uint64
	// nextForgetToken is when a token may next be acquired only so that workers can forget tasks.
	nextForgetToken time.Duration
}

func newFencingTokens() fencingTokens {
	return fencingTokens{acquired: map[uint64]bool{}, pendingRaises: map[string]uint64{}}
}

// takeWaitingHeartbeats removes and returns the reports that wait for a newer token.
func (t *fencingTokens) takeWaitingHeartbeats() []Heartbeat {
	waiting := t.waitingHeartbeats
	t.waitingHeartbeats = nil
	return waiting
}

// acquireToken takes the next token from the counter in the store with a conditional write. All
// workers that wait for a newer token share it.
func (a *agentController) acquireToken() {
	if a.tokens.acquiring {
		return
	}
	a.tokens.acquiring = true
	a.get(keyToken, func(r StoreReply) {
		var counter tokenCounter
		switch r.Outcome {
		case OutcomeMissing:
		case OutcomeApplied:
			if err := json.Unmarshal(r.Item.Value, &counter); err != nil {
				a.tokenUnavailable()
				return
			}
		default:
			a.tokenUnavailable()
			return
		}
		a.writeToken(counter.Token+1, r.Item.Version)
	})
}

// writeToken writes a token to the counter if the counter still has the given version.
func (a *agentController) writeToken(token, version uint64) {
	next := tokenCounter{Token: token, Node: a.cfg.Node, Incarnation: a.core.members.incarnation}
	txn := protocol.Txn{
		If:   []protocol.Condition{{Key: keyToken, Version: version}},
		Then: []protocol.Change{putJSON(keyToken, next)},
	}
	a.compareAndSwap(txn, true, func(r StoreReply) {
		a.tokens.acquiring = false
		switch r.Outcome {
		case OutcomeApplied:
			a.tokenAcquired(token)
		case OutcomeConflict, OutcomeUnknown:
			// Another controller may hold this token, so try the next one.
			a.acquireToken()
		default:
			a.tokenUnavailable()
		}
	})
}

// tokenUnavailable refuses the waiting reports, so that their workers switch to other
// controllers.
func (a *agentController) tokenUnavailable() {
	a.tokens.acquiring = false
	for _, heartbeat := range a.tokens.takeWaitingHeartbeats() {
		a.replyUnavailable(heartbeat.Req)
	}
}

// tokenAcquired makes a token the current one, and applies it to all workers that wait for it.
func (a *agentController) tokenAcquired(token uint64) {
	a.tokens.current, a.tokens.acquiredAt = token, a.now.Steady
	a.tokens.acquired[token] = true
	a.log(Info, "fencing token acquired", "token", token)
	waiting := a.tokens.takeWaitingHeartbeats()
	for machine, above := range ordered(a.tokens.pendingRaises) {
		if session := a.session(machine); session != nil && session.token <= above {
			a.raiseToken(machine, session)
		}
	}
	clear(a.tokens.pendingRaises)
	for _, heartbeat := range waiting {
		a.handleHeartbeat(heartbeat)
	}
}

// raiseToken moves a worker to the current token and delivers that token immediately.
func (a *agentController) raiseToken(machine string, session *agentSession) {
	a.moveToCurrentToken(machine, session)
	session.probeDue = true
	a.deliverTo(machine, session)
}

// moveToCurrentToken moves a worker to the current token, which it learns from the next delivery or
// answer.
func (a *agentController) moveToCurrentToken(machine string, session *agentSession) {
	session.setToken(a.tokens.current)
	// Leaders must not bind tasks under the previous token any more.
	if m := a.core.machines.Get(machine); m != nil {
		a.core.shareObservation(Observation{Node: a.cfg.Node, Token: session.token, Report: m.Report})
	}
	a.releaseForgets(machine, session)
}

// fence raises a worker's token above one under which the outcome of a start is unknown.
func (a *agentController) fence(f Fence) {
	session := a.session(f.Machine)
	if session == nil || session.token > f.Above {
		return
	}
	if a.tokens.current > f.Above && a.tokens.current > session.token {
		a.raiseToken(f.Machine, session)
		return
	}
	a.tokens.pendingRaises[f.Machine] = max(a.tokens.pendingRaises[f.Machine], f.Above)
	a.acquireToken()
}

// retryPendingRaises requests a token again if none was available before. It does not rely on
// the leaders to repeat their fence requests, which may no longer arrive.
func (a *agentController) retryPendingRaises() {
	if len(a.tokens.pendingRaises) > 0 {
		a.acquireToken()
	}
}
