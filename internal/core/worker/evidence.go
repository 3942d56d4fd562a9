package worker

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// Evidence is what the newest report of a machine says about a binding.
type Evidence uint8

// What a report may say about a binding.
const (
	// Inconclusive means that the report proves nothing yet.
	Inconclusive Evidence = iota
	// Present means that the task is on the machine.
	Present
	// Exited means that the attempt has exited there.
	Exited
	// Absent proves that the attempt is not there and can never start there.
	Absent
)

// Evidence weighs a binding against the newest report of its machine. The start was sent
// under exactly the binding's token to exactly its epoch, and at most once. A report without
// the task that was made under a newer token or in a newer epoch is proof: a start that is
// still on its way will be refused by the worker.
func (m *Machine) Evidence(task string, b *job.Binding) (Evidence, protocol.TaskReport) {
	if t, ok := m.Find(task, b.Attempt); ok && m.Session == b.Epoch {
		if t.State == protocol.Exited {
			return Exited, t
		}
		return Present, t
	}
	if m.Session > b.Epoch || m.Session == b.Epoch && m.Token > b.Token {
		return Absent, protocol.TaskReport{}
	}
	return Inconclusive, protocol.TaskReport{}
}
