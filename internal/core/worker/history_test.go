package worker

import (
	"slices"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// Guards against an attempt that runs again after its end, and of which no log tells why.
func TestAttemptThatAppearsAfterItsEndIsDetected(t *testing.T) {
	const task, attempt = "req-1/0", 3
	shown := []protocol.TaskReport{{Task: task, Attempt: attempt, State: protocol.Running}}
	exited := []protocol.TaskReport{{Task: task, Attempt: attempt, State: protocol.Exited}}
	for name, c := range map[string]struct {
		events  []EventKind
		reports [][]protocol.TaskReport
		want    []int
	}{
		"first shown":                    {[]EventKind{StartSent}, [][]protocol.TaskReport{shown}, nil},
		"again after it was forgotten":   {[]EventKind{StartSent, ForgetSent}, [][]protocol.TaskReport{nil, shown}, []int{0}},
		"again after its end is stored":  {[]EventKind{EndStored}, [][]protocol.TaskReport{nil, shown}, []int{0}},
		"running although it had exited": {[]EventKind{ForgetSent}, [][]protocol.TaskReport{exited, shown}, []int{0}},
		"still exited":                   {[]EventKind{ForgetSent}, [][]protocol.TaskReport{shown, exited, exited}, nil},
		"shown although proven absent":   {[]EventKind{ProvenAbsent}, [][]protocol.TaskReport{shown}, []int{0}},
		"stopped and still shown":        {[]EventKind{StopSent}, [][]protocol.TaskReport{nil, shown}, nil},
	} {
		m := &Machine{}
		for _, kind := range c.events {
			m.RecordEvent(kind, task, attempt, time.Second)
		}
		for seq, tasks := range c.reports {
			m.Update(protocol.Report{WorkerEpoch: 1, Seq: uint64(seq + 1), Tasks: tasks}, time.Second)
		}
		if got := m.TakeReappeared(); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

func TestHistoryKeepsNewestEvents(t *testing.T) {
	m := &Machine{}
	for n := range historyLength + 5 {
		m.RecordEvent(StartSent, "req-1/0", uint64(n), 0)
	}
	events := m.History()
	if len(events) != historyLength || events[0].Attempt != 5 || events[len(events)-1].Attempt != historyLength+4 {
		t.Errorf("got %d events from %v to %v", len(events), events[0], events[len(events)-1])
	}
}
