package core

import (
	"testing"

	"pepperlever/internal/core/job"
)

// TestOneOfTwoConflictingClaimsHolds checks that of two leaders that claim the same capacity at
// the same time exactly one keeps it.
func TestOneOfTwoConflictingClaimsHolds(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	cluster.submit("a", "req-red-1", 1, "")
	cluster.waitUntilStarted("req-red-1", 1) // uses two of the machine's four CPUs
	c := cluster.cores["a"]
	blue, free := jobWithClaim(c, "req-blue-9"), jobWithClaim(c, "req-free-9")
	if !c.claimHolds(blue, 0, blue.Bound[0]) || c.claimHolds(free, 0, free.Bound[0]) {
		t.Error("want the claim with precedence, and only that one, to hold")
	}
}

// jobWithClaim returns a job with a new binding of two CPUs on the machine in use.
func jobWithClaim(c *Core, id string) *job.Job {
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
