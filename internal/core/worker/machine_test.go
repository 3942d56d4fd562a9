package worker

import (
	"testing"
	"time"

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
		"running":                         {protocol.Report{Session: 2, Token: 5, Tasks: task(3, protocol.Running)}, Present},
		"exited":                          {protocol.Report{Session: 2, Token: 5, Tasks: task(3, protocol.Exited)}, Exited},
		"absent under the same term":      {protocol.Report{Session: 2, Token: 5}, Inconclusive},
		"absent under an older term":      {protocol.Report{Session: 2, Token: 4}, Inconclusive},
		"absent under a newer term":       {protocol.Report{Session: 2, Token: 6}, Absent},
		"a later session":                 {protocol.Report{Session: 3, Token: 5}, Absent},
		"an earlier session, newer token": {protocol.Report{Session: 1, Token: 9}, Inconclusive},
		"another attempt is no sign":      {protocol.Report{Session: 2, Token: 5, Tasks: task(2, protocol.Exited)}, Inconclusive},
		"seen though the term has passed": {protocol.Report{Session: 2, Token: 9, Tasks: task(3, protocol.Running)}, Present},
	} {
		m := &Machine{}
		m.Update(c.report, 0)
		if got, _ := m.Evidence("req-1/0", b); got != c.want {
			t.Errorf("%s: got %d, want %d", name, got, c.want)
		}
	}
}

func TestIsNewerComparesEpochsBeforeSequenceNumbers(t *testing.T) {
	m := &Machine{}
	m.Update(protocol.Report{Session: 2, Seq: 10}, 0)
	for _, c := range []struct {
		session, seq uint64
		want         bool
	}{{2, 10, false}, {2, 9, false}, {2, 11, true}, {1, 99, false}, {3, 1, true}} {
		if got := m.IsNewer(&protocol.Report{Session: c.session, Seq: c.seq}); got != c.want {
			t.Errorf("session %d, sequence %d: got %v", c.session, c.seq, got)
		}
	}
}

func TestImageCacheDropsTheLeastRecentlyUsed(t *testing.T) {
	m := &Machine{}
	m.UseImage("a", 4, 10, 1*time.Second)
	m.UseImage("b", 4, 10, 2*time.Second)
	m.UseImage("a", 4, 10, 3*time.Second)
	m.UseImage("c", 4, 10, 4*time.Second)
	if !m.HasImage("a") || m.HasImage("b") || !m.HasImage("c") {
		t.Error("the wrong image was forgotten")
	}
}
