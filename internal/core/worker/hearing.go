package worker

// hearing follows, from a machine's own reports, whether it hears what it is told. A
// report says the highest token that the worker has seen, so one that is lower than the
// token which the report before was answered with shows that the answer did not arrive.
// Nothing else does: a machine whose network carries only what it sends goes on
// reporting, to one controller after another, and looks alive.
type hearing struct {
	told   uint64
	misses int
}

// deafAt is how many answers in a row have to be lost. One may be on any day.
const deafAt = 2

// Answered takes a report's token and the token of its answer.
func (m *Machine) Answered(token, with uint64) {
	if token >= m.told {
		m.misses = 0
	} else {
		m.misses++
	}
	m.told = with
}

// Missed tells whether a report shows that an answer did not arrive.
func (m *Machine) Missed(token uint64) bool { return token < m.told }

// Deaf tells whether the machine does not hear what it is told.
func (m *Machine) Deaf() bool { return m.misses >= deafAt }
