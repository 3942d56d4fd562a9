package worker

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// Evidence classifies what a machine's latest report proves about a binding.
type Evidence uint8

// The possible kinds of evidence.
const (
	// Inconclusive means that the report does not show whether the attempt is on the machine.
	Inconclusive Evidence = iota
	// Present means that the attempt is on the machine and has not exited.
	Present
	// Exited means that the attempt has exited on the machine.
	Exited
	// Absent means that the attempt is not on the machine and can never start there.
	Absent
)

// Evidence returns what the machine's latest report proves about a binding, and the reported
// state of its task if there is one. The start command is sent at most once, with the binding's
// token and for its epoch, but copies of it may arrive at any time. A report that lacks the task
// proves its absence if it was made with a newer token or in a newer epoch: the worker rejects the start
// and all copies of it. An exited attempt stays exited, since the worker remembers it until MayForget
// allows it to be forgotten.
func (m *Machine) Evidence(task string, b *job.Binding) (Evidence, protocol.TaskReport) {
	if t, ok := m.Find(task, b.Attempt); ok && m.WorkerEpoch == b.Epoch {
		if t.State == protocol.Exited {
			return Exited, t
		}
		return Present, t
	}
	if m.WorkerEpoch > b.Epoch || m.WorkerEpoch == b.Epoch && m.Token > b.Token {
		return Absent, protocol.TaskReport{}
	}
	return Inconclusive, protocol.TaskReport{}
}
