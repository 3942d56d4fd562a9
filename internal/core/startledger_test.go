package core

import (
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// A leader's start message arrives over a slow link after the machine's controller has already
// started the task from the stored binding and the task has ended. The task must not be started
// again.
func TestLateStartIsNotForwardedAgain(t *testing.T) {
	cluster := newIdleSimCluster(t, 10)
	cluster.delayLinks(everyLink)
	requireAccepted(t, cluster.submit("a", "req-free-1", 20, ""))
	if !cluster.run(45*time.Second, cluster.allDone("req-free-1")) {
		t.Fatal("job did not end while links were slow")
	}
	held := 0
	for _, ms := range cluster.heldMessages {
		for _, m := range ms {
			if m.Start != nil {
				held++
			}
		}
	}
	cluster.restoreLinks()
	cluster.run(20*time.Second, nil)
	if held == 0 {
		t.Error("no start message was delayed")
	}
	cluster.checkStartedOnce()
}

// If a job is cancelled while this node reloads the stored state, the decision on a forwarded start
// is kept. Otherwise the leader's start message would be refused if it arrived later, although the
// task runs.
func TestStartDecisionIsKeptWhileACancelledJobIsReloaded(t *testing.T) {
	for name, test := range map[string]struct {
		state string
		ended bool
		kept  bool
	}{
		"unknown":             {kept: true},
		"cancelled":           {state: protocol.Cancelled, kept: true},
		"cancelled and ended": {state: protocol.Cancelled, ended: true},
		"done":                {state: protocol.Done},
	} {
		c := newSimCluster(t).cores["a"]
		c.replica.revision = 9
		c.agents.add("vm", newAgentSession(1, 0, ""))
		c.agents.startLedgers.record(&Start{Machine: "vm", Task: "req-free-1/0", Attempt: 1, Token: 1, Revision: 5}, false, c.now.Steady)
		if test.state != "" {
			c.rememberFinalState("req-free-1", protocol.JobState{ID: "req-free-1", State: test.state})
		}
		if test.ended {
			c.recordEnd("req-free-1", 8)
		}
		c.agents.expireStartDecisions()
		if _, kept := c.agents.startLedgers.find("vm", 1, taskAttempt{"req-free-1/0", 1}); kept != test.kept {
			t.Errorf("%s: decision kept: %v", name, kept)
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
		t.Errorf("got %v, %v for a refused start", decision, ok)
	}
	ledgers.record(start(4), false, time.Second)
	if _, ok := ledgers.find("vm", 4, attempt); ok || !ledgers.isSuperseded("vm", 4) || ledgers.isSuperseded("vm", 5) {
		t.Error("decision under a superseded token was kept")
	}
	ledgers.record(start(6), false, time.Second)
	if _, ok := ledgers.find("vm", 5, attempt); ok || !ledgers.isSuperseded("vm", 5) {
		t.Error("decision was kept although a newer token was recorded")
	}
	obsolete := func(string, taskAttempt, startDecision) bool { return true }
	ledgers.expire(obsolete, func(string) bool { return true })
	if _, ok := ledgers.find("vm", 6, attempt); ok || ledgers.isSuperseded("vm", 6) || !ledgers.isSuperseded("vm", 5) {
		t.Error("token of a known machine was dropped, or an obsolete decision was kept")
	}
	ledgers.expire(obsolete, func(string) bool { return false })
	if ledgers.isSuperseded("vm", 5) {
		t.Error("ledger of an unknown machine was kept")
	}
}
