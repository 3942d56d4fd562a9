package worker

// RecordFailure counts a failed task of a job against the machine.
func (m *Machine) RecordFailure(job string) {
	if m.failures == nil {
		m.failures = map[string]int{}
	}
	m.failures[job]++
}

// ClearFailures forgets all failures, since a task has succeeded on the machine.
func (m *Machine) ClearFailures() { m.failures = nil }

// FailureScore sums what the failures of each job say against the machine.
func (m *Machine) FailureScore(weigh func(job string, failures int) int) int {
	score := 0
	for job, failures := range m.failures {
		score += weigh(job, failures)
	}
	return score
}
