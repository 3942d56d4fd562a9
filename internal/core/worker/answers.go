package worker

// answerTracker detects from a machine's reports whether the worker receives the answers to
// them. A report carries the highest token that the worker has seen. If that is lower than the
// token in the answer to the previous report, the answer was lost. This is the only way to detect
// a one-way network failure: a machine that can send but not receive keeps reporting, to one
// controller after another, and looks alive.
type answerTracker struct {
	// lastToken is the fencing token in the latest answer.
	lastToken uint64
	// consecutiveMisses is the number of answers in a row that were lost.
	consecutiveMisses int
}

// unreachableThreshold is the number of consecutive lost answers after which a machine counts as
// unreachable. A single lost answer is normal.
const unreachableThreshold = 2

// RecordAnswer records the token that a report carried and the token in the answer to it.
func (m *Machine) RecordAnswer(reportToken, answerToken uint64) {
	if m.ShowsMissedAnswer(reportToken) {
		m.answers.consecutiveMisses++
	} else {
		m.answers.consecutiveMisses = 0
	}
	m.answers.lastToken = answerToken
}

// ShowsMissedAnswer reports whether the token of a report shows that the worker did not receive the
// latest answer.
func (m *Machine) ShowsMissedAnswer(reportToken uint64) bool {
	return reportToken < m.answers.lastToken
}

// IsUnreachable reports whether the machine no longer receives the answers to its reports.
func (m *Machine) IsUnreachable() bool { return m.answers.consecutiveMisses >= unreachableThreshold }
