package core

import (
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// A leader's message that comes over a slow link, long after the machine's controller has
// started the task by what the store shows and the task has ended, must not start it again.
func TestLateStartIsNotForwardedAgain(t *testing.T) {
	w := idleWorld(t, 10)
	w.hold(everyLink)
	accepted(t, w.submit("a", "req-free-1", 20, ""))
	if !w.run(45*time.Second, w.finished("req-free-1")) {
		t.Fatal("job does not end while links are slow")
	}
	held := 0
	for _, ms := range w.heldMessages {
		for _, m := range ms {
			if m.Start != nil {
				held++
			}
		}
	}
	w.restore()
	w.run(20*time.Second, nil)
	if held == 0 {
		t.Error("no start was held back")
	}
	w.startedOnce()
}

// The decision on a start that was forwarded is kept where the job is cancelled while this
// node reads everything again: otherwise the leader's message, if it comes after that, would be
// refused although the task runs.
func TestStartDecisionIsKeptWhileACancelledJobIsReadAgain(t *testing.T) {
	for name, k := range map[string]struct {
		state string
		gone  bool
		kept  bool
	}{
		"not known":          {kept: true},
		"cancelled":          {state: protocol.Cancelled, kept: true},
		"cancelled and over": {state: protocol.Cancelled, gone: true},
		"done":               {state: protocol.Done},
	} {
		c := newWorld(t).cores["a"]
		c.replica.revision = 9
		c.agents.add("vm", newAgentSession(1, 0, ""))
		c.agents.startLedgers.record(&Start{Machine: "vm", Task: "req-free-1/0", Attempt: 1, Token: 1, Revision: 5}, false, c.now.Steady)
		if k.state != "" {
			c.rememberFinalState("req-free-1", protocol.JobState{ID: "req-free-1", State: k.state})
		}
		if k.gone {
			c.noteEnd("req-free-1", 8)
		}
		c.agents.expireStartDecisions()
		if _, kept := c.agents.startLedgers.find("vm", 1, taskAttempt{"req-free-1/0", 1}); kept != k.kept {
			t.Errorf("%s: kept %v", name, kept)
		}
	}
}

func TestStartLedgerKeepsDecisionsOfTheNewestToken(t *testing.T) {
	attempt := taskAttempt{"req-free-1/0", 1}
	start := func(token uint64) *Start {
		return &Start{Machine: "vm", Task: attempt.task, Attempt: attempt.attempt, Token: token}
	}
	ledgers := newStartLedgers()
	ledgers.record(start(5), true, time.Second)
	if decision, ok := ledgers.find("vm", 5, attempt); !ok || !decision.refused {
		t.Errorf("got %v, %v for what was refused", decision, ok)
	}
	ledgers.record(start(4), false, time.Second)
	if _, ok := ledgers.find("vm", 4, attempt); ok || !ledgers.hasPassed("vm", 4) || ledgers.hasPassed("vm", 5) {
		t.Error("a decision is kept under a token that has passed")
	}
	ledgers.record(start(6), false, time.Second)
	if _, ok := ledgers.find("vm", 5, attempt); ok || !ledgers.hasPassed("vm", 5) {
		t.Error("a decision is kept though a newer token has come")
	}
	obsolete := func(string, taskAttempt, startDecision) bool { return true }
	ledgers.expire(obsolete, func(string) bool { return true })
	if _, ok := ledgers.find("vm", 6, attempt); ok || ledgers.hasPassed("vm", 6) || !ledgers.hasPassed("vm", 5) {
		t.Error("the token of a known machine is forgotten, or an obsolete decision kept")
	}
	ledgers.expire(obsolete, func(string) bool { return false })
	if ledgers.hasPassed("vm", 5) {
		t.Error("the ledger of an unknown machine is kept")
	}
}
