package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// TestTeamLimitCountsUnresolvedBindings checks that every binding counts towards the team's limit
// until its task is known to no longer run.
func TestTeamLimitCountsUnresolvedBindings(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-red-1", 30, ""))
	peak := 0.0
	for range 40 {
		cluster.run(time.Second, nil)
		peak = max(peak, cluster.cpusInUse("red"))
	}
	if peak != 16 {
		t.Errorf("got a peak of %v CPUs in use, want the limit of 16", peak)
	}
}

func TestZeroTeamLimitMeansUnlimited(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-free-1", 30, ""))
	if !cluster.run(3*time.Minute, cluster.allDone("req-free-1")) {
		t.Fatal("job of a team without a limit did not end")
	}
}

func TestMayPreempt(t *testing.T) {
	policy := settings.DefaultPolicy()
	policy.Preemption = true
	c := New(testSettings("a"), policy, "x")
	newJob := func(team string, priority, bound int) *job.Job {
		j := job.New(job.Spec{ID: fmt.Sprint("req-", team, priority), Team: team, Priority: priority, Tasks: 9,
			Need: job.Resources{CPUs: 2}}, 64, 0)
		for i := range bound {
			j.Bind(i, &job.Binding{})
		}
		c.addJob(c.teamsByName[team], j)
		return j
	}
	priorityNormal := slices.Index(protocol.Priorities, "normal")
	urgent, normal := newJob("free", priorityNormal-1, 0), newJob("free", priorityNormal, 1)
	within, above := newJob("red", priorityNormal, 3), newJob("blue", priorityNormal-1, 5)
	for name, tc := range map[string]struct {
		unplaced, victim *job.Job
		want             bool
	}{
		"higher priority": {urgent, normal, true},
		"lower priority":  {normal, urgent, false},
		"within guarantee against above guarantee": {within, above, true},
		"without guarantee":                        {normal, above, false},
		"equal priority in the same team":          {normal, normal, false},
	} {
		if got := newRound(c).mayPreempt(tc.unplaced, tc.victim); got != tc.want {
			t.Errorf("%s: got mayPreempt %v", name, got)
		}
	}
}
