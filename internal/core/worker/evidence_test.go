package worker

import (
	"testing"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

func TestEvidenceRequiresProofFromReport(t *testing.T) {
	b := &job.Binding{Machine: "m", Attempt: 3, Token: 5, Epoch: 2}
	task := func(attempt uint64, state string) []protocol.TaskReport {
		return []protocol.TaskReport{{Task: "req-1/0", Attempt: attempt, State: state}}
	}
	for name, c := range map[string]struct {
		report protocol.Report
		want   Evidence
	}{
		"running":                     {protocol.Report{WorkerEpoch: 2, Token: 5, Tasks: task(3, protocol.Running)}, Present},
		"exited":                      {protocol.Report{WorkerEpoch: 2, Token: 5, Tasks: task(3, protocol.Exited)}, Exited},
		"not listed, same token":      {protocol.Report{WorkerEpoch: 2, Token: 5}, Inconclusive},
		"not listed, older token":     {protocol.Report{WorkerEpoch: 2, Token: 4}, Inconclusive},
		"not listed, newer token":     {protocol.Report{WorkerEpoch: 2, Token: 6}, Absent},
		"newer epoch":                 {protocol.Report{WorkerEpoch: 3, Token: 5}, Absent},
		"older epoch, newer token":    {protocol.Report{WorkerEpoch: 1, Token: 9}, Inconclusive},
		"only another attempt listed": {protocol.Report{WorkerEpoch: 2, Token: 5, Tasks: task(2, protocol.Exited)}, Inconclusive},
		"running, newer token":        {protocol.Report{WorkerEpoch: 2, Token: 9, Tasks: task(3, protocol.Running)}, Present},
	} {
		m := &Machine{}
		m.Update(c.report, 0)
		if got, _ := m.Evidence("req-1/0", b); got != c.want {
			t.Errorf("%s: got evidence %d, want %d", name, got, c.want)
		}
	}
}
