package federation

import (
	"testing"
	"time"
)

func TestGiveUpNeedsAClassThatAllowsRepeats(t *testing.T) {
	for name, c := range map[string]struct {
		in   GiveUp
		want string
	}{
		"class allows it":        {GiveUp{JobID: "req-away-b0", Operator: "ana", Reason: "burnt down"}, ""},
		"class does not":         {GiveUp{JobID: "req-away-b1", Operator: "ana", Reason: "burnt down"}, "class once does not allow a repeat"},
		"nobody says it":         {GiveUp{JobID: "req-away-b0", Reason: "burnt down"}, "who gives it up, and why, must be said"},
		"nothing to be given up": {GiveUp{JobID: "req-x", Operator: "ana", Reason: "burnt down"}, "job is not away"},
	} {
		m := newRoutingCoordinator(nil, Outgoing{To: "b", Ticket: Ticket{Class: "k"}}, Outgoing{To: "b", Ticket: Ticket{Class: "once"}})
		got, stored := "", false // what is left to be written if it is let through
		for _, e := range m.Step(2*time.Second, c.in) {
			switch e := e.(type) {
			case Answer:
				got = e.Error
			case StoreWrite:
				stored = true
			}
		}
		if got != c.want || stored != (c.want == "") {
			t.Errorf("%s: %q, written %v", name, got, stored)
		}
	}
}
