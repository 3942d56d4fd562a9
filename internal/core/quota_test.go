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

func TestLimitCountsBindingsThatAreNotSettled(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-red-1", 30, ""))
	most := 0.0
	for range 40 {
		w.run(time.Second, nil)
		most = max(most, w.inUse("red"))
	}
	if most != 16 {
		t.Errorf("the most CPUs in use were %v, want the limit of 16", most)
	}
}

func TestLimitOfZeroMeansNone(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-free-1", 30, ""))
	if !w.run(3*time.Minute, w.finished("req-free-1")) {
		t.Fatal("a team without a limit does not run")
	}
}

func TestUrgentWorkMayStopNormalWorkButNotTheOtherWayRound(t *testing.T) {
	policy := settings.DefaultPolicy()
	policy.Preemption = true
	c := New(testSettings("a"), policy, "x")
	task := func(team string, priority, bound int) *job.Job {
		j := job.New(job.Spec{ID: fmt.Sprint("req-", team, priority), Team: team, Priority: priority, Tasks: 9,
			Need: job.Resources{CPUs: 2}}, 64, 0)
		for i := range bound {
			j.Bind(i, &job.Binding{})
		}
		c.addJob(c.teamBy[team], j)
		return j
	}
	priorityNormal := slices.Index(protocol.Priorities, "normal")
	urgent, normal := task("free", priorityNormal-1, 0), task("free", priorityNormal, 1)
	within, above := task("red", priorityNormal, 3), task("blue", priorityNormal-1, 5)
	for name, k := range map[string]struct {
		starved, victim *job.Job
		want            bool
	}{
		"a higher priority":                      {urgent, normal, true},
		"a lower priority":                       {normal, urgent, false},
		"a guarantee against work above its own": {within, above, true},
		"no guarantee":                           {normal, above, false},
		"equal priority of the same team":        {normal, normal, false},
	} {
		if got := newRound(c).mayPreempt(k.starved, k.victim); got != k.want {
			t.Errorf("%s: got %v", name, got)
		}
	}
}
