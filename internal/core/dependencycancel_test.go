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

// A cancellation takes with it all that needs the job, deep and wide, while the store
// refuses the leader and then is out for longer than a cancellation may take: whoever answers
// says cancelled within that time, and so it stays, also where every controller has started over.
func TestCancellationCascadesToDependents(t *testing.T) {
	const wide = 60
	for name, meanwhile := range map[string]func(w *world){
		"all is well": func(*world) {},
		"the leader is refused, then an outage": func(w *world) {
			w.refuseStoreTo(w.leaderOf("blue"))
			w.run(time.Second, nil)
			w.outage = true
			w.run(w.cancelDeadline()*3/2, nil)
			w.endOutage()
		},
		"all end":          func(w *world) { w.stopAllFor(3 * time.Second) },
		"changes are late": func(w *world) { w.watchLag = 3 * time.Second },
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
			for n := range wide {
				id := fmt.Sprintf("req-blue-w%d", n)
				accepted(t, w.submit(w.names[n%5], id, 2, awaiting("req-free-1")))
				ids = append(ids, id)
			}
			w.started("req-free-1", 2)
			if a := w.cancelJob("c", "req-free-1"); a.Status != http.StatusOK {
				t.Fatalf("cancellation got %d", a.Status)
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
						t.Fatalf("%s is %s, and one that it needs was cancelled %v ago", id, got, w.now-confirmedAt)
					}
				}
			}
			if answered < len(ids) {
				t.Errorf("only %d answers on %d jobs", answered, len(ids))
			}
			stored := func() bool {
				return !slices.ContainsFunc(ids, func(id string) bool {
					_, active := w.kv[jobKey(id)]
					s, _ := w.state(id)
					return active || s.State != protocol.Cancelled
				})
			}
			if !w.run(2*time.Minute, stored) {
				t.Error("not all that ended is stored")
			}
		})
	}
}

// The user of a job cancels it at the moment at which it is cancelled with what it awaits: it
// ends once, and nothing of either cancellation is left in the store.
func TestCascadeRacesWithTheUsersOwnCancellation(t *testing.T) {
	w := idleWorld(t, 10)
	w.allowRacingStarts, w.taskTime = true, 5*time.Minute
	accepted(t, w.submit("a", "req-free-1", 1, ""))
	accepted(t, w.submit("a", "req-blue-1", 1, awaiting("req-free-1")))
	w.started("req-free-1", 1)
	leader := w.leaderOf("blue")
	users := protocol.Txn{ // as any controller would store it
		If:   []protocol.Condition{{Key: keyState + "req-blue-1"}},
		Then: []protocol.Change{putJSON(keyState+"req-blue-1", finalStateRecord{State: protocol.Cancelled}), putJSON(cancelKey("req-blue-1"), cancelRecord{})},
	}
	met := false
	w.lateWrite = func(node string, e StoreTxn) time.Duration { // the leader's write waits for the user's
		if node == leader && !met && slices.ContainsFunc(e.Txn.Then, func(ch protocol.Change) bool { return ch.Delete == jobKey("req-blue-1") }) {
			met = w.decide(users).Outcome == Applied
			return 3 * time.Second
		}
		return 0
	}
	w.watchLag = 4 * time.Second // and the leader hears of it by its own write
	w.refuse(everyLink)
	w.cancelJob(leader, "req-free-1")
	if !w.run(10*time.Second, func() bool { return met }) {
		t.Fatal("the leader does not store the cascade")
	}
	w.restore()
	w.watchLag, w.lateWrite = 0, nil
	w.run(w.cancelDeadline(), nil)
	for key := range w.kv {
		if strings.HasSuffix(key, "req-blue-1") && key != keyState+"req-blue-1" {
			t.Errorf("%s is left", key)
		}
	}
	if got := w.stateSeenBy("c", "req-blue-1"); got != protocol.Cancelled {
		t.Errorf("it is %q", got)
	}
}

// A wide cascade does not hold up what starts: nobody waits for its stored ends.
func TestCascadeDoesNotDelayStarts(t *testing.T) {
	w := idleWorld(t, 20)
	w.allowRacingStarts, w.taskTime = true, 5*time.Minute
	accepted(t, w.submit("a", "req-free-1", 1, ""))
	const wide = 300
	for n := range wide {
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
	if left < wide/2 {
		t.Errorf("only %d of the cascade were left to be stored when the next job began", left)
	}
}

// A job that names one whose cancellation is known, but whose tasks have not ended yet.
func TestDependentOfACancelledRunningJobIsCancelled(t *testing.T) {
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
			t.Errorf("%s says that it is %q", node, got)
		}
	}
	if w.kv[jobKey("req-free-1")].Version == 0 {
		t.Fatal("the awaited job has ended by then")
	}
}
