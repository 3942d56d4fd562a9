package federation

import (
	"testing"
	"time"
)

func TestGiveUpRequiresClassThatAllowsRepeat(t *testing.T) {
	for name, tc := range map[string]struct {
		in   GiveUp
		want string
	}{
		"class allows a repeat":         {GiveUp{JobID: "req-away-b0", Operator: "ana", Reason: "burnt down"}, ""},
		"class does not allow a repeat": {GiveUp{JobID: "req-away-b1", Operator: "ana", Reason: "burnt down"}, "class once does not allow a repeat"},
		"operator is missing":           {GiveUp{JobID: "req-away-b0", Reason: "burnt down"}, "operator and reason are required to give up a hand-off"},
		"job is not outgoing":           {GiveUp{JobID: "req-x", Operator: "ana", Reason: "burnt down"}, "job is not handed off"},
	} {
		coordinator := newRoutingCoordinator(nil, Outgoing{To: "b", Ticket: Ticket{Class: "k"}}, Outgoing{To: "b", Ticket: Ticket{Class: "once"}})
		got, stored := "", false
		for _, effect := range coordinator.Step(2*time.Second, tc.in) {
			switch effect := effect.(type) {
			case Answer:
				got = effect.Error
			case StoreWrite:
				stored = true
			}
		}
		if got != tc.want || stored != (tc.want == "") {
			t.Errorf("%s: got error %q, stored %v", name, got, stored)
		}
	}
}
