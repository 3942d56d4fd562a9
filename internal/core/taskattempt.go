package core

import "cmp"

// taskAttempt identifies one attempt of a task.
type taskAttempt struct {
	task    string
	attempt uint64
}

func compareAttempts(a, b taskAttempt) int {
	return cmp.Or(cmp.Compare(a.task, b.task), cmp.Compare(a.attempt, b.attempt))
}
