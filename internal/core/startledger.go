package core

import "time"

// startLedger holds what this node has decided on the starts of tasks that were bound to a
// machine under one fencing token. The token is this run's alone, so it decides on each such
// start at most once: forwarded or refused, by a leader's message or by what the store shows,
// and no other controller can forward it. A decision is kept for as long as the start could
// come up again.
type startLedger struct {
	token     uint64
	decisions map[taskAttempt]startDecision
}

// startDecision is what was decided on one start, when, and the newest revision of the store
// at which its binding is known to have been there.
type startDecision struct {
	refused  bool
	at       time.Duration
	revision uint64
}

// startLedgers holds the ledger of each machine for the newest token that a start came under.
type startLedgers struct{ byMachine map[string]*startLedger }

func newStartLedgers() startLedgers {
	return startLedgers{byMachine: map[string]*startLedger{}}
}

// record notes a decision, unless it is under a token that has passed. A refusal is for good
// even where the agent comes back under the same token.
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

// find looks up the decision on an attempt that was bound to a machine under a token.
func (l *startLedgers) find(machine string, token uint64, attempt taskAttempt) (startDecision, bool) {
	ledger := l.byMachine[machine]
	if ledger == nil || ledger.token != token {
		return startDecision{}, false
	}
	decision, ok := ledger.decisions[attempt]
	return decision, ok
}

// hasPassed tells whether starts on a machine have come under a newer token than this one,
// so that decisions under this one are not known any more.
func (l *startLedgers) hasPassed(machine string, token uint64) bool {
	ledger := l.byMachine[machine]
	return ledger != nil && ledger.token > token
}

// expire drops the decisions that are obsolete, and the ledgers without decisions of machines
// that are unknown.
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
