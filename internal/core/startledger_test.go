package core

import (
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// A home's message that comes over a slow link, long after the machine's controller
// has started the task by its own watch and the task has ended, must not start it again.
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

// A decision on a start that was forwarded was forgotten where the job was cancelled
// while this node was reading everything again: the home's message, if it came after
// that, would have been refused although the task ran.
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
