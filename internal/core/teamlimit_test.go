package core

import (
	"testing"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/scaling"
)

// Guards against a team that uses exactly its guarantee counting as above it, because the sum of its tasks
// is rounded up: its work would wait for machines and could be preempted.
func TestSumOfTasksIsWithinGuaranteeDespiteRounding(t *testing.T) {
	const cpus, guarantee = 0.7, 7
	c := newBusyCore(10)
	c.policy.Preemption = true
	team, other := c.teams[0], c.teams[1]
	team.CPUs, other.CPUs, other.jobs = guarantee, 100, map[string]*job.Job{}
	queue := &teamQueue{team: team}
	j := job.New(job.Spec{ID: "req-1", Team: team.Name, Tasks: 1, Need: job.Resources{CPUs: cpus}, DeadlineS: 1e6}, 64, 0)
	for range 9 {
		queue.usage = queue.usage.Plus(j.Need, 1)
	}
	if got := newRound(c).entitlement(queue, j); got != scaling.Guaranteed {
		t.Errorf("got entitlement %v of the last task within the guarantee, want %v", got, scaling.Guaranteed)
	}

	clear(team.jobs)
	for _, id := range []string{"req-a", "req-b", "req-c", "req-d", "req-e", "req-f", "req-g", "req-h", "req-i", "req-k"} {
		bound := job.New(job.Spec{ID: id, Team: team.Name, Tasks: 1, Need: j.Need}, 64, 0)
		bound.Bound[0] = &job.Binding{}
		team.jobs[id] = bound
	}
	starved := job.New(job.Spec{ID: "req-2", Team: other.Name, Tasks: 1, Need: j.Need}, 64, 0)
	if newRound(c).mayPreempt(starved, j) {
		t.Errorf("a team that uses %v of %d guaranteed CPUs may be preempted", team.usage().CPUs, guarantee)
	}
}
