package worker

import (
	"testing"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

func TestEvidenceIsOnlyWhatAReportProves(t *testing.T) {
	b := &job.Binding{Machine: "m", Attempt: 3, Token: 5, Epoch: 2}
	task := func(attempt uint64, state string) []protocol.TaskReport {
		return []protocol.TaskReport{{Task: "req-1/0", Attempt: attempt, State: state}}
	}
	for name, c := range map[string]struct {
		report protocol.Report
		want   Evidence
	}{
		"running":                             {protocol.Report{Session: 2, Token: 5, Tasks: task(3, protocol.Running)}, Present},
		"exited":                              {protocol.Report{Session: 2, Token: 5, Tasks: task(3, protocol.Exited)}, Exited},
		"absent under the same token":         {protocol.Report{Session: 2, Token: 5}, Inconclusive},
		"absent under an older token":         {protocol.Report{Session: 2, Token: 4}, Inconclusive},
		"absent under a newer token":          {protocol.Report{Session: 2, Token: 6}, Absent},
		"a later epoch":                       {protocol.Report{Session: 3, Token: 5}, Absent},
		"an earlier epoch, newer token":       {protocol.Report{Session: 1, Token: 9}, Inconclusive},
		"another attempt proves nothing":      {protocol.Report{Session: 2, Token: 5, Tasks: task(2, protocol.Exited)}, Inconclusive},
		"present though the token has passed": {protocol.Report{Session: 2, Token: 9, Tasks: task(3, protocol.Running)}, Present},
	} {
		m := &Machine{}
		m.Update(c.report, 0)
		if got, _ := m.Evidence("req-1/0", b); got != c.want {
			t.Errorf("%s: got %d, want %d", name, got, c.want)
		}
	}
}
