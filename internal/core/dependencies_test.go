package core

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pepperlever/internal/core/dependency"
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/scaling"
	"pepperlever/internal/protocol"
)

// stateSeenBy returns the state of a job that a controller reports, or "" if it does not answer
// with one.
func (cluster *simCluster) stateSeenBy(node, id string) string {
	cluster.t.Helper()
	if a := cluster.status(node, id); a.Status == http.StatusOK {
		return a.Body.(protocol.JobState).State
	}
	return ""
}

// A chain of ten jobs of three teams runs in order although the leaders of two teams crash
// meanwhile. After each failover the new leader knows which dependencies are done, however long ago
// they ended.
func TestDependencyChainSurvivesFailovers(t *testing.T) {
	cluster := newIdleSimCluster(t, 10)
	cluster.allowRacingStarts, cluster.taskTime = true, 3*time.Second
	teams := []string{"red", "blue", "free"}
	var ids []string
	for n := range 10 {
		id, extraFields := fmt.Sprintf("req-%s-%d", teams[n%3], n), ""
		if n > 0 {
			extraFields = dependenciesField(ids...)
		}
		requireAccepted(t, cluster.submit(cluster.names[n%5], id, 2, extraFields))
		ids = append(ids, id)
	}
	for n, id := range ids {
		if n == 2 || n == 5 {
			team := strings.Split(ids[n], "-")[1]
			leader := cluster.leaderOf(team)
			cluster.crash(leader)
			cluster.expire(leader)
			cluster.run(20*time.Second, func() bool { successor := cluster.leaderOf(team); return successor != "" && successor != leader })
			cluster.boot(leader)
		}
		if !cluster.run(2*time.Minute, cluster.allDone(id)) {
			t.Fatalf("%s did not end", id)
		}
	}
	cluster.checkStartedOnce()
}

// A job that is blocked by a dependency uses nothing: no capacity, no part of its team's limit and
// no place in the ranking, and no machines are rented for it. Its waiting time begins when the
// dependency is done.
func TestBlockedJobReservesNothing(t *testing.T) {
	cluster := newIdleSimCluster(t, 10)
	cluster.taskTime = 40 * time.Second
	requireAccepted(t, cluster.submit("a", "req-red-1", 1, ""))
	requireAccepted(t, cluster.submit("a", "req-red-2", 30, dependenciesField("req-red-1")))
	cluster.run(10*time.Second, nil)
	c := cluster.cores[cluster.leaderOf("red")]
	j, team := c.jobs["req-red-2"], c.teamsByName["red"]
	if !j.Blocked || c.startAllowance(j) != 0 || c.pendingResources(team) != (job.Resources{}) {
		t.Errorf("got an allowance of %d tasks and team demand %v, want none", c.startAllowance(j), c.pendingResources(team))
	}
	if slices.ContainsFunc(c.scheduler.pendingDemand, func(d scaling.Demand) bool { return d.Spec.ID == j.ID }) {
		t.Error("machines are rented for the blocked job")
	}
	before := team.record
	cluster.run(10*time.Second, nil)
	if used := team.record.Baseline[0] - before.Baseline[0]; used > 2*10.5 {
		t.Errorf("usage record of the team: got %v CPU seconds in 10 s, want those of one task", used)
	}
	requireAccepted(t, cluster.submit("b", "req-red-3", 7, ""))
	cluster.waitUntilStarted("req-red-3", 7) // all of the team's limit except for the running task
	if !cluster.run(time.Minute, cluster.allDone("req-red-1")) {
		t.Fatal("the dependency did not end")
	}
	cluster.run(time.Second, nil)
	if waited := cluster.now - j.PendingSince; waited > 2*time.Second {
		t.Errorf("got a waiting time of %v, want at most 2 s", waited)
	}
	cluster.waitUntilStarted("req-red-2", 1)
}

// A job inherits the urgency of a more urgent job that depends on it.
func TestDependencyInheritsUrgency(t *testing.T) {
	cluster := newIdleSimCluster(t, 0)
	cluster.maxMachines = 0
	requireAccepted(t, cluster.submit("a", "req-free-1", 4, `,"urgency":"low","dueS":null`))
	requireAccepted(t, cluster.submit("a", "req-blue-1", 4, `,"urgency":"critical","dueS":30.0`+dependenciesField("req-free-1")))
	cluster.run(2*time.Second, nil)
	for _, node := range cluster.names {
		c := cluster.cores[node]
		j, dependent := c.jobs["req-free-1"], c.jobs["req-blue-1"]
		if j.Rank() != 0 || isBestEffort(j) || !j.AboveNormal() || j.EffectiveSpec().Priority != 0 || j.Priority != len(protocol.Priorities)-1 {
			t.Errorf("%s: got rank %d of a dependency with priority %d, want rank 0", node, j.Rank(), j.Priority)
		}
		if want := dependent.OwnLatestStartMS() - j.RunTimeMS(); j.LatestStartMS() != want || dependent.OwnLatestStartMS() == dependency.NoDeadline {
			t.Errorf("%s: got latest start %d, want %d", node, j.LatestStartMS(), want)
		}
	}
	cluster.cancelJob("b", "req-blue-1")
	cluster.run(3*time.Second, nil)
	if j := cluster.cores["a"].jobs["req-free-1"]; j.Rank() != j.Priority || !isBestEffort(j) {
		t.Errorf("got rank %d without dependents, want the job's own priority", j.Rank())
	}
}

// The final states of dependencies that ended before the controllers restarted are read from the
// store. A job whose dependency was cancelled is accepted and cancelled; one whose dependency is
// done runs.
func TestEndedDependenciesAreReadFromTheStore(t *testing.T) {
	cluster := newIdleSimCluster(t, 10)
	cluster.taskTime = 2 * time.Second
	for _, id := range []string{"req-free-1", "req-free-2"} {
		requireAccepted(t, cluster.submit("a", id, 1, ""))
	}
	if cluster.cancelJob("b", "req-free-1"); !cluster.run(time.Minute, cluster.allDone("req-free-2")) {
		t.Fatal("the job did not end")
	}
	requireAccepted(t, cluster.submit("a", "req-blue-3", 1, dependenciesField("req-free-1")))
	if a := cluster.cancelJob("b", "req-free-2"); a.Body.(protocol.JobState).State != protocol.Done {
		t.Fatalf("cancellation of a job that is done: got %v, want done", a.Body)
	}
	cluster.run(10*time.Second, nil)
	cluster.stopAllFor(time.Second)
	cluster.recover()
	cluster.waitUntilReady().run(10*time.Second, nil)
	for _, node := range cluster.names {
		if c := cluster.cores[node]; len(c.ended.states) > 1 {
			t.Fatalf("%s: got cached final states %v, want at most one", node, c.ended.states)
		}
	}
	requireAccepted(t, cluster.submit("c", "req-red-1", 1, dependenciesField("req-free-1")))
	requireAccepted(t, cluster.submit("d", "req-red-2", 1, dependenciesField("req-free-2", "req-red-1")))
	requireAccepted(t, cluster.submit("e", "req-red-3", 1, dependenciesField("req-free-2")))
	if !cluster.run(time.Minute, cluster.allDone("req-red-3")) {
		t.Error("the dependent of a job that is done did not end")
	}
	for _, id := range []string{"req-red-1", "req-red-2", "req-blue-3"} {
		if got := cluster.stateSeenBy("a", id); got != protocol.Cancelled {
			t.Errorf("%s: got state %q, want cancelled", id, got)
		}
	}
}
