package core

import (
	"testing"

	"pepperlever/internal/core/job"
)

// TestOneOfTwoConflictingClaimsHolds checks that two leaders that choose the same room at once
// neither both keep it nor both give it up.
func TestOneOfTwoConflictingClaimsHolds(t *testing.T) {
	w := newWorld(t).ready()
	w.submit("a", "req-red-1", 1, "")
	w.started("req-red-1", 1) // two of a machine's four CPUs are in use
	c := w.cores["a"]
	blue, free := claimant(c, "req-blue-9"), claimant(c, "req-free-9")
	if !c.claimHolds(blue, 0, blue.Bound[0]) || c.claimHolds(free, 0, free.Bound[0]) {
		t.Error("the claim with precedence and no other must hold")
	}
}

// claimant is a job with a new binding of two CPUs on the machine in use.
func claimant(c *Core, id string) *job.Job {
	j := job.New(job.Spec{ID: id, Tasks: 1, Need: job.Resources{CPUs: 2}}, 16, 0)
	c.machines.TrackBindings(j)
	for _, m := range c.machines.Names() {
		if c.machines.HasBindings(m) {
			j.Bind(0, &job.Binding{Machine: m, Attempt: 1})
			break
		}
	}
	return j
}
