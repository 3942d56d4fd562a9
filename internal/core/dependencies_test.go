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

// stateSeenBy is the state of a job that a controller answers with, or nothing.
func (w *world) stateSeenBy(node, id string) string {
	w.t.Helper()
	if a := w.status(node, id); a.Status == http.StatusOK {
		return a.Body.(protocol.JobState).State
	}
	return ""
}

// A chain of ten over three teams is done in order, although the leaders of two teams end
// on the way, and after each failover the new leader knows what is done, also an hour ago.
func TestDependencyChainSurvivesFailovers(t *testing.T) {
	w := idleWorld(t, 10)
	w.allowRacingStarts, w.taskTime = true, 3*time.Second
	teams := []string{"red", "blue", "free"}
	var ids []string
	for n := range 10 {
		id, more := fmt.Sprintf("req-%s-%d", teams[n%3], n), ""
		if n > 0 {
			more = awaiting(ids...)
		}
		accepted(t, w.submit(w.names[n%5], id, 2, more))
		ids = append(ids, id)
	}
	for n, id := range ids {
		if n == 2 || n == 5 {
			next := strings.Split(ids[n], "-")[1]
			leader := w.leaderOf(next)
			w.crash(leader)
			w.expire(leader)
			w.run(20*time.Second, func() bool { h := w.leaderOf(next); return h != "" && h != leader })
			w.boot(leader)
		}
		if !w.run(2*time.Minute, w.finished(id)) {
			t.Fatalf("%s does not end", id)
		}
	}
	w.startedOnce()
}

// A job that waits holds nothing: neither room, nor its team's limit, nor a place in the
// ranking, nor machines that are rented; and its time begins when it can.
func TestWaitingJobReservesNothing(t *testing.T) {
	w := idleWorld(t, 10)
	w.taskTime = 40 * time.Second
	accepted(t, w.submit("a", "req-red-1", 1, ""))
	accepted(t, w.submit("a", "req-red-2", 30, awaiting("req-red-1")))
	w.run(10*time.Second, nil)
	c := w.cores[w.leaderOf("red")]
	j, team := c.jobs["req-red-2"], c.teamBy["red"]
	if !j.Blocked || c.startAllowance(j) != 0 || c.waitingResources(team) != (job.Resources{}) {
		t.Errorf("it asks for %d tasks, its team for %v", c.startAllowance(j), c.waitingResources(team))
	}
	if slices.ContainsFunc(c.scheduler.pendingDemand, func(d scaling.Demand) bool { return d.Spec.ID == j.ID }) {
		t.Error("machines are rented for it")
	}
	asked := team.record
	w.run(10*time.Second, nil)
	if ran := team.record.Base[0] - asked.Base[0]; ran > 2*10.5 {
		t.Errorf("its team's record counts a demand of %v CPU seconds in 10 s of one task", ran)
	}
	accepted(t, w.submit("b", "req-red-3", 7, ""))
	w.started("req-red-3", 7) // the whole limit but for the one that runs
	if !w.run(time.Minute, w.finished("req-red-1")) {
		t.Fatal("the awaited job does not end")
	}
	w.run(time.Second, nil)
	if waited := w.now - j.PendingSince; waited > 2*time.Second {
		t.Errorf("it counts as having waited for %v", waited)
	}
	w.started("req-red-2", 1)
}

// What an urgent job needs is as urgent, whoever asks for it first.
func TestAwaitedJobInheritsUrgency(t *testing.T) {
	w := idleWorld(t, 0)
	w.maxMachines = 0
	accepted(t, w.submit("a", "req-free-1", 4, `,"urgency":"low","dueS":null`))
	accepted(t, w.submit("a", "req-blue-1", 4, `,"urgency":"critical","dueS":30.0`+awaiting("req-free-1")))
	w.run(2*time.Second, nil)
	for _, node := range w.names {
		c := w.cores[node]
		j, last := c.jobs["req-free-1"], c.jobs["req-blue-1"]
		if j.Rank() != 0 || isBestEffort(j) || !j.AboveNormal() || j.EffectiveSpec().Priority != 0 || j.Priority != len(protocol.Priorities)-1 {
			t.Errorf("%s takes it for one of rank %d, its own is %d", node, j.Rank(), j.Priority)
		}
		if want := last.OwnLatestStart() - j.RunTimeMS(); j.LatestStart() != want || last.OwnLatestStart() == dependency.NoDeadline {
			t.Errorf("%s has it start by %d, want %d", node, j.LatestStart(), want)
		}
	}
	w.cancelJob("b", "req-blue-1")
	w.run(3*time.Second, nil)
	if j := w.cores["a"].jobs["req-free-1"]; j.Rank() != j.Priority || !isBestEffort(j) {
		t.Errorf("nothing needs it any more, and its rank is %d", j.Rank())
	}
}

// A job that names one cancelled long ago, of which no controller holds anything, is accepted
// and cancelled; one that is answered done lets what needs it go on.
func TestEndedDependenciesAreReadFromTheStore(t *testing.T) {
	w := idleWorld(t, 10)
	w.taskTime = 2 * time.Second
	for _, id := range []string{"req-free-1", "req-free-2"} {
		accepted(t, w.submit("a", id, 1, ""))
	}
	if w.cancelJob("b", "req-free-1"); !w.run(time.Minute, w.finished("req-free-2")) {
		t.Fatal("the job does not end")
	}
	accepted(t, w.submit("a", "req-blue-3", 1, awaiting("req-free-1")))
	if a := w.cancelJob("b", "req-free-2"); a.Body.(protocol.JobState).State != protocol.Done {
		t.Fatalf("cancellation of a finished job got %v", a.Body)
	}
	w.run(10*time.Second, nil)
	w.stopAllFor(time.Second)
	w.recover()
	w.ready().run(10*time.Second, nil)
	for _, node := range w.names {
		if c := w.cores[node]; len(c.ended.states) > 1 {
			t.Fatalf("%s remembers %v", node, c.ended.states)
		}
	}
	accepted(t, w.submit("c", "req-red-1", 1, awaiting("req-free-1")))
	accepted(t, w.submit("d", "req-red-2", 1, awaiting("req-free-2", "req-red-1")))
	accepted(t, w.submit("e", "req-red-3", 1, awaiting("req-free-2")))
	if !w.run(time.Minute, w.finished("req-red-3")) {
		t.Error("what needs a finished job does not go on")
	}
	for _, id := range []string{"req-red-1", "req-red-2", "req-blue-3"} {
		if got := w.stateSeenBy("a", id); got != protocol.Cancelled {
			t.Errorf("%s is %q", id, got)
		}
	}
}
