package worker

// answerTracker follows, from a machine's own reports, whether the answers to them arrive. A
// report says the highest token that the worker has seen, so one that is lower than the token
// which the report before was answered with shows that the answer did not arrive. Nothing else
// does: a machine whose network carries only what it sends goes on reporting, to one
// controller after another, and looks alive.
type answerTracker struct {
	// lastToken is the token of the newest answer.
	lastToken uint64
	// missedInRow is how many answers in a row did not arrive.
	missedInRow int
}

// unreachableAfter is how many answers in a row have to be lost for a machine to count as
// unreachable. A single one may be lost on any day.
const unreachableAfter = 2

// RecordAnswer takes the token that a report names and the token of its answer.
func (m *Machine) RecordAnswer(reported, answered uint64) {
	if m.MissedAnswer(reported) {
		m.answers.missedInRow++
	} else {
		m.answers.missedInRow = 0
	}
	m.answers.lastToken = answered
}

// MissedAnswer tells whether the token of a report shows that the newest answer did not
// arrive.
func (m *Machine) MissedAnswer(reported uint64) bool { return reported < m.answers.lastToken }

// IsUnreachable tells whether the machine does not receive what it is answered.
func (m *Machine) IsUnreachable() bool { return m.answers.missedInRow >= unreachableAfter }
