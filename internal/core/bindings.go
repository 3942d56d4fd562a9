package core

import "pepperlever/internal/core/job"

// unbind ends a binding, on proof that the task is gone or was never sent.
func (c *Core) unbind(j *job.Job, i int) {
	j.Unbind(i)
	j.Urgent = j.Urgent || j.Kind != job.Array
	c.requestRound()
}

// unbindUnstored ends the bindings that the store does not hold.
func (c *Core) unbindUnstored(j *job.Job) {
	for i, b := range ordered(j.Bound) {
		if !b.Stored {
			c.unbind(j, i)
		}
	}
}
