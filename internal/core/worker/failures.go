package worker

// RecordFailure counts a failed task of a job on the machine.
func (m *Machine) RecordFailure(job string) {
	if m.failures == nil {
		m.failures = map[string]int{}
	}
	m.failures[job]++
}

// ClearFailures resets the failure counts of all jobs, after a task has succeeded on the machine.
func (m *Machine) ClearFailures() { m.failures = nil }

// FailureScore returns the sum of the weighted failure counts of all jobs.
func (m *Machine) FailureScore(weight func(job string, failures int) int) int {
	score := 0
	for job, failures := range m.failures {
		score += weight(job, failures)
	}
	return score
}
