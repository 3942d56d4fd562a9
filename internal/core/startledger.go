package core

import "time"

// startLedger holds this node's decisions on the starts of tasks that were bound to a machine
// under one fencing token. The token belongs to this incarnation alone, so no other controller
// can forward start commands for these tasks. Each start is decided at most once: its command is
// forwarded or refused, at the leader's request or on behalf of an unreachable leader. A decision is
// kept for as long as the request may arrive again. The ledger does not keep copies of a forwarded command
// from being executed: worker.Machine.MayForget does.
type startLedger struct {
	token     uint64
	decisions map[taskAttempt]startDecision
}

// startDecision is the decision on one start, when it was made, and the newest store revision
// at which the binding is known to have existed.
type startDecision struct {
	refused  bool
	at       time.Duration
	revision uint64
}

// startLedgers holds the ledger of each machine for the newest token of its starts.
type startLedgers struct{ byMachine map[string]*startLedger }

func newStartLedgers() startLedgers {
	return startLedgers{byMachine: map[string]*startLedger{}}
}

// record stores a decision, unless its token is superseded. A refusal is final even if the
// worker reports here again under the same token.
func (l *startLedgers) record(s *Start, refused bool, now time.Duration) {
	ledger := l.byMachine[s.Machine]
	if ledger == nil || s.Token > ledger.token {
		ledger = &startLedger{token: s.Token, decisions: map[taskAttempt]startDecision{}}
		l.byMachine[s.Machine] = ledger
	}
	if s.Token == ledger.token {
		ledger.decisions[s.taskAttempt()] = startDecision{refused, now, s.Revision}
	}
}

// find returns the decision on an attempt that was bound to a machine under a token.
func (l *startLedgers) find(machine string, token uint64, attempt taskAttempt) (startDecision, bool) {
	ledger := l.byMachine[machine]
	if ledger == nil || ledger.token != token {
		return startDecision{}, false
	}
	decision, ok := ledger.decisions[attempt]
	return decision, ok
}

// isSuperseded reports whether a start on a machine has been decided under a newer token than the
// given one, so that decisions under the given one are no longer known.
func (l *startLedgers) isSuperseded(machine string, token uint64) bool {
	ledger := l.byMachine[machine]
	return ledger != nil && ledger.token > token
}

// expire drops obsolete decisions, and the empty ledgers of unknown machines.
func (l *startLedgers) expire(
	isObsolete func(machine string, attempt taskAttempt, decision startDecision) bool,
	isKnown func(machine string) bool,
) {
	for machine, ledger := range l.byMachine {
		for attempt, decision := range ledger.decisions {
			if isObsolete(machine, attempt, decision) {
				delete(ledger.decisions, attempt)
			}
		}
		if len(ledger.decisions) == 0 && !isKnown(machine) {
			delete(l.byMachine, machine)
		}
	}
}
