package worker

import "testing"

func TestConsecutiveLostAnswersMakeMachineUnreachable(t *testing.T) {
	type exchange struct{ reportToken, answerToken uint64 }
	for name, c := range map[string]struct {
		exchanges   []exchange
		unreachable bool
	}{
		"first report":                            {[]exchange{{0, 5}}, false},
		"receives all answers":                    {[]exchange{{0, 5}, {5, 5}, {5, 5}}, false},
		"switches to another controller":          {[]exchange{{5, 5}, {5, 7}, {7, 7}}, false},
		"one answer lost":                         {[]exchange{{5, 5}, {5, 7}, {5, 8}, {8, 8}}, false},
		"no further answers received":             {[]exchange{{5, 5}, {5, 7}, {5, 8}, {5, 9}}, true},
		"no answers received from one controller": {[]exchange{{5, 7}, {5, 7}, {5, 7}}, true},
		"answers received again":                  {[]exchange{{5, 7}, {5, 7}, {5, 7}, {7, 7}}, false},
		"newer token from a third controller":     {[]exchange{{5, 7}, {9, 7}, {9, 9}}, false},
	} {
		m := &Machine{}
		for _, r := range c.exchanges {
			m.RecordAnswer(r.reportToken, r.answerToken)
		}
		if m.IsUnreachable() != c.unreachable {
			t.Errorf("%s: got unreachable %v", name, m.IsUnreachable())
		}
	}
}
