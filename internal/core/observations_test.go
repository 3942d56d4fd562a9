package core

import (
	"testing"

	"pepperlever/internal/protocol"
)

// Reports of hundreds of tasks each are split into messages that a peer takes in one line.
func TestMessagesOfLongReportsStayShort(t *testing.T) {
	var all []Observation
	for n := range 200 {
		o := Observation{}
		o.Report.Tasks = make([]protocol.TaskReport, n*5)
		all = append(all, o)
	}
	seen := 0
	for part := range batchObservations(all) {
		tasks := 0
		for _, o := range part {
			tasks += len(o.Report.Tasks)
		}
		if tasks > tasksPerMessage && len(part) > 1 {
			t.Errorf("%d tasks in %d reports of one message", tasks, len(part))
		}
		seen += len(part)
	}
	if seen != len(all) {
		t.Errorf("%d of %d reports are passed on", seen, len(all))
	}
}
