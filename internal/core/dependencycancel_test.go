package core

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// Cancelling a job cancels all of its direct and transitive dependents within the cancellation
// deadline, even if the store refuses the leader and then fails for longer than the deadline, or if
// all controllers restart. Every answer after the deadline reports them as cancelled.
func TestCancellationCascadesToDependents(t *testing.T) {
	const directDependents = 60
	for name, meanwhile := range map[string]func(w *world){
		"no fault": func(*world) {},
		"the leader is refused, then an outage": func(w *world) {
			w.refuseStoreTo(w.leaderOf("blue"))
			w.run(time.Second, nil)
			w.outage = true
			w.run(w.cancelDeadline()*3/2, nil)
			w.endOutage()
		},
		"all controllers restart": func(w *world) { w.stopAllFor(3 * time.Second) },
		"watches lag":             func(w *world) { w.watchLag = 3 * time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := idleWorld(t, 10)
			w.allowRacingStarts, w.taskTime = true, 5*time.Minute
			accepted(t, w.submit("a", "req-free-1", 2, ""))
			ids := []string{"req-free-1"}
			for n := range 10 {
				id := fmt.Sprintf("req-%s-%d", []string{"blue", "red"}[n%2], n)
				accepted(t, w.submit(w.names[n%5], id, 2, awaiting(ids[len(ids)-1])))
				ids = append(ids, id)
			}
			for n := range directDependents {
				id := fmt.Sprintf("req-blue-w%d", n)
				accepted(t, w.submit(w.names[n%5], id, 2, awaiting("req-free-1")))
				ids = append(ids, id)
			}
			w.started("req-free-1", 2)
			if a := w.cancelJob("c", "req-free-1"); a.Status != http.StatusOK {
				t.Fatalf("cancellation: got status %d, want 200", a.Status)
			}
			confirmedAt := w.now
			meanwhile(w)
			w.run(confirmedAt+w.cancelDeadline()-w.now, nil)
			answered := 0
			for n, id := range ids {
				for try := range 3 {
					switch got := w.stateSeenBy(w.names[(n+try)%5], id); got {
					case protocol.Cancelled:
						answered++
					case "":
						w.run(3*time.Second, nil)
					default:
						t.Fatalf("%s: got state %s, want cancelled: its dependency was cancelled %v ago", id, got, w.now-confirmedAt)
					}
				}
			}
			if answered < len(ids) {
				t.Errorf("got %d answers for %d jobs, want at least one each", answered, len(ids))
			}
			stored := func() bool {
				return !slices.ContainsFunc(ids, func(id string) bool {
					_, active := w.kv[jobKey(id)]
					s, _ := w.state(id)
					return active || s.State != protocol.Cancelled
				})
			}
			if !w.run(2*time.Minute, stored) {
				t.Error("not all final states were stored")
			}
		})
	}
}

// A user cancels a job at the moment at which it is cancelled because of its dependency. The job
// ends once, and no key of either cancellation except the final state remains in the store.
func TestCascadeRacesWithUserCancellation(t *testing.T) {
	w := idleWorld(t, 10)
	w.allowRacingStarts, w.taskTime = true, 5*time.Minute
	accepted(t, w.submit("a", "req-free-1", 1, ""))
	accepted(t, w.submit("a", "req-blue-1", 1, awaiting("req-free-1")))
	w.started("req-free-1", 1)
	leader := w.leaderOf("blue")
	userCancellation := protocol.Txn{ // as any controller would store it
		If:   []protocol.Condition{{Key: keyState + "req-blue-1"}},
		Then: []protocol.Change{putJSON(keyState+"req-blue-1", finalStateRecord{State: protocol.Cancelled}), putJSON(cancelKey("req-blue-1"), cancelRecord{})},
	}
	raced := false
	w.lateWrite = func(node string, e StoreTxn) time.Duration { // the user's write overtakes the leader's
		if node == leader && !raced && slices.ContainsFunc(e.Txn.Then, func(ch protocol.Change) bool { return ch.Delete == jobKey("req-blue-1") }) {
			raced = w.decide(userCancellation).Outcome == Applied
			return 3 * time.Second
		}
		return 0
	}
	w.watchLag = 4 * time.Second // so the leader learns of it from the outcome of its own write
	w.refuse(everyLink)
	w.cancelJob(leader, "req-free-1")
	if !w.run(10*time.Second, func() bool { return raced }) {
		t.Fatal("the leader did not store the cascaded cancellation")
	}
	w.restore()
	w.watchLag, w.lateWrite = 0, nil
	w.run(w.cancelDeadline(), nil)
	for key := range w.kv {
		if strings.HasSuffix(key, "req-blue-1") && key != keyState+"req-blue-1" {
			t.Errorf("key %s is left in the store", key)
		}
	}
	if got := w.stateSeenBy("c", "req-blue-1"); got != protocol.Cancelled {
		t.Errorf("got state %q, want cancelled", got)
	}
}

// Storing the final states of many cascaded cancellations does not delay the start of other jobs,
// since nothing waits for those writes.
func TestCascadeDoesNotDelayStarts(t *testing.T) {
	w := idleWorld(t, 20)
	w.allowRacingStarts, w.taskTime = true, 5*time.Minute
	accepted(t, w.submit("a", "req-free-1", 1, ""))
	const dependents = 300
	for n := range dependents {
		accepted(t, w.submit(w.names[n%5], fmt.Sprintf("req-blue-w%d", n), 1, awaiting("req-free-1")))
	}
	w.cancelJob("a", "req-free-1")
	accepted(t, w.submit("b", "req-blue-1", 4, ""))
	w.started("req-blue-1", 4)
	left := 0
	for key := range w.kv {
		if strings.HasPrefix(key, jobKey("req-blue-w")) {
			left++
		}
	}
	if left < dependents/2 {
		t.Errorf("got %d cancelled jobs still to be stored when the next job started, want at least half", left)
	}
}

// A job is cancelled if it is submitted with a dependency that is cancelled but whose tasks still
// run.
func TestDependentOfCancelledRunningJobIsCancelled(t *testing.T) {
	w := idleWorld(t, 10)
	w.allowRacingStarts, w.taskTime, w.noCloud = true, 5*time.Minute, true
	accepted(t, w.submit("a", "req-free-1", 2, ""))
	w.started("req-free-1", 2)
	for _, id := range slices.Sorted(maps.Keys(w.workers)) {
		if len(w.workers[id].Tasks) > 0 {
			w.hang(id, 12*time.Second)
		}
	}
	w.cancelJob("a", "req-free-1")
	w.run(2*time.Second, nil)
	accepted(t, w.submit("c", "req-blue-1", 1, awaiting("req-free-1")))
	w.run(2*time.Second, nil)
	for _, node := range w.names {
		if got := w.stateSeenBy(node, "req-blue-1"); got != protocol.Cancelled {
			t.Errorf("%s: got state %q, want cancelled", node, got)
		}
	}
	if w.kv[jobKey("req-free-1")].Version == 0 {
		t.Fatal("the dependency has ended already")
	}
}
