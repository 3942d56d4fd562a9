package core

import "pepperlever/internal/core/job"

// unbind removes the binding of task i. The caller has proof that the task is no longer on its machine
// or that its start command was never sent.
func (c *Core) unbind(j *job.Job, i int) {
	j.Unbind(i)
	j.Urgent = j.Urgent || j.Kind != job.Array
	c.requestRound()
}

// unbindUnstored removes the bindings of a job that are not stored yet.
func (c *Core) unbindUnstored(j *job.Job) {
	for i, b := range ordered(j.Bound) {
		if !b.Stored {
			c.unbind(j, i)
		}
	}
}
