package worker

import "testing"

func TestAnswersThatAreLostInARowMakeAMachineUnreachable(t *testing.T) {
	type answered struct{ token, with uint64 }
	for name, c := range map[string]struct {
		reports     []answered
		unreachable bool
	}{
		"new":                                  {[]answered{{0, 5}}, false},
		"receives its answers":                 {[]answered{{0, 5}, {5, 5}, {5, 5}}, false},
		"turns to another controller":          {[]answered{{5, 5}, {5, 7}, {7, 7}}, false},
		"one answer is lost on the way":        {[]answered{{5, 5}, {5, 7}, {5, 8}, {8, 8}}, false},
		"receives no answer any more":          {[]answered{{5, 5}, {5, 7}, {5, 8}, {5, 9}}, true},
		"receives no answer of one controller": {[]answered{{5, 7}, {5, 7}, {5, 7}}, true},
		"receives answers again":               {[]answered{{5, 7}, {5, 7}, {5, 7}, {7, 7}}, false},
		"a newer token from a third node":      {[]answered{{5, 7}, {9, 7}, {9, 9}}, false},
	} {
		m := &Machine{}
		for _, r := range c.reports {
			m.RecordAnswer(r.token, r.with)
		}
		if m.IsUnreachable() != c.unreachable {
			t.Errorf("%s: unreachable %v", name, m.IsUnreachable())
		}
	}
}
