package worker

// acknowledgements follows, from a machine's own reports, whether it hears what it is told. A
// report says the highest token that the worker has seen, so one that is lower than the
// token which the report before was answered with shows that the answer did not arrive.
// Nothing else does: a machine whose network carries only what it sends goes on
// reporting, to one controller after another, and looks alive.
type acknowledgements struct {
	lastAnswer  uint64
	missedInRow int
}

// unreachableAfter is how many answers in a row have to be lost. One may be on any day.
const unreachableAfter = 2

// RecordAnswer takes a report's token and the token of its answer.
func (m *Machine) RecordAnswer(token, with uint64) {
	if token >= m.lastAnswer {
		m.missedInRow = 0
	} else {
		m.missedInRow++
	}
	m.lastAnswer = with
}

// MissedAnswer tells whether a report shows that an answer did not arrive.
func (m *Machine) MissedAnswer(token uint64) bool { return token < m.lastAnswer }

// IsUnreachable tells whether the machine does not hear what it is told.
func (m *Machine) IsUnreachable() bool { return m.missedInRow >= unreachableAfter }
