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
	for name, meanwhile := range map[string]func(cluster *simCluster){
		"no fault": func(*simCluster) {},
		"the leader is refused, then an outage": func(cluster *simCluster) {
			cluster.refuseStoreTo(cluster.leaderOf("blue"))
			cluster.run(time.Second, nil)
			cluster.outage = true
			cluster.run(cluster.cancelDeadline()*3/2, nil)
			cluster.endOutage()
		},
		"all controllers restart": func(cluster *simCluster) { cluster.stopAllFor(3 * time.Second) },
		"watches lag":             func(cluster *simCluster) { cluster.watchLag = 3 * time.Second },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster := newIdleSimCluster(t, 10)
			cluster.allowRacingStarts, cluster.taskTime = true, 5*time.Minute
			requireAccepted(t, cluster.submit("a", "req-free-1", 2, ""))
			ids := []string{"req-free-1"}
			for n := range 10 {
				id := fmt.Sprintf("req-%s-%d", []string{"blue", "red"}[n%2], n)
				requireAccepted(t, cluster.submit(cluster.names[n%5], id, 2, dependenciesField(ids[len(ids)-1])))
				ids = append(ids, id)
			}
			for n := range directDependents {
				id := fmt.Sprintf("req-blue-w%d", n)
				requireAccepted(t, cluster.submit(cluster.names[n%5], id, 2, dependenciesField("req-free-1")))
				ids = append(ids, id)
			}
			cluster.waitUntilStarted("req-free-1", 2)
			if a := cluster.cancelJob("c", "req-free-1"); a.Status != http.StatusOK {
				t.Fatalf("cancellation: got status %d, want 200", a.Status)
			}
			confirmedAt := cluster.now
			meanwhile(cluster)
			cluster.run(confirmedAt+cluster.cancelDeadline()-cluster.now, nil)
			answered := 0
			for n, id := range ids {
				for try := range 3 {
					switch got := cluster.stateSeenBy(cluster.names[(n+try)%5], id); got {
					case protocol.Cancelled:
						answered++
					case "":
						cluster.run(3*time.Second, nil)
					default:
						t.Fatalf("%s: got state %s, want cancelled: its dependency was cancelled %v ago", id, got, cluster.now-confirmedAt)
					}
				}
			}
			if answered < len(ids) {
				t.Errorf("got %d answers for %d jobs, want at least one each", answered, len(ids))
			}
			stored := func() bool {
				return !slices.ContainsFunc(ids, func(id string) bool {
					_, active := cluster.kv[jobKey(id)]
					s, _ := cluster.state(id)
					return active || s.State != protocol.Cancelled
				})
			}
			if !cluster.run(2*time.Minute, stored) {
				t.Error("not all final states were stored")
			}
		})
	}
}

// A user cancels a job at the moment at which it is cancelled because of its dependency. The job
// ends once, and no key of either cancellation except the final state remains in the store.
func TestCascadeRacesWithUserCancellation(t *testing.T) {
	cluster := newIdleSimCluster(t, 10)
	cluster.allowRacingStarts, cluster.taskTime = true, 5*time.Minute
	requireAccepted(t, cluster.submit("a", "req-free-1", 1, ""))
	requireAccepted(t, cluster.submit("a", "req-blue-1", 1, dependenciesField("req-free-1")))
	cluster.waitUntilStarted("req-free-1", 1)
	leader := cluster.leaderOf("blue")
	userCancellation := protocol.Txn{ // as any controller would store it
		If:   []protocol.Condition{{Key: keyState + "req-blue-1"}},
		Then: []protocol.Change{putJSON(keyState+"req-blue-1", finalStateRecord{State: protocol.Cancelled}), putJSON(cancelKey("req-blue-1"), cancelRecord{})},
	}
	raced := false
	cluster.lateWrite = func(node string, e StoreTxn) time.Duration { // the user's write overtakes the leader's
		if node == leader && !raced && slices.ContainsFunc(e.Txn.Then, func(ch protocol.Change) bool { return ch.Delete == jobKey("req-blue-1") }) {
			raced = cluster.commitTxn(userCancellation).Outcome == OutcomeApplied
			return 3 * time.Second
		}
		return 0
	}
	cluster.watchLag = 4 * time.Second // so the leader learns of the user's cancellation from the outcome of its own write
	cluster.disconnectLinks(everyLink)
	cluster.cancelJob(leader, "req-free-1")
	if !cluster.run(10*time.Second, func() bool { return raced }) {
		t.Fatal("the leader did not store the cascaded cancellation")
	}
	cluster.restoreLinks()
	cluster.watchLag, cluster.lateWrite = 0, nil
	cluster.run(cluster.cancelDeadline(), nil)
	for key := range cluster.kv {
		if strings.HasSuffix(key, "req-blue-1") && key != keyState+"req-blue-1" {
			t.Errorf("key %s is left in the store", key)
		}
	}
	if got := cluster.stateSeenBy("c", "req-blue-1"); got != protocol.Cancelled {
		t.Errorf("got state %q, want cancelled", got)
	}
}

// Storing the final states of many cascaded cancellations does not delay the start of other jobs,
// since nothing waits for those writes.
func TestCascadeDoesNotDelayStarts(t *testing.T) {
	cluster := newIdleSimCluster(t, 20)
	cluster.allowRacingStarts, cluster.taskTime = true, 5*time.Minute
	requireAccepted(t, cluster.submit("a", "req-free-1", 1, ""))
	const dependents = 300
	for n := range dependents {
		requireAccepted(t, cluster.submit(cluster.names[n%5], fmt.Sprintf("req-blue-w%d", n), 1, dependenciesField("req-free-1")))
	}
	cluster.cancelJob("a", "req-free-1")
	requireAccepted(t, cluster.submit("b", "req-blue-1", 4, ""))
	cluster.waitUntilStarted("req-blue-1", 4)
	left := 0
	for key := range cluster.kv {
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
	cluster := newIdleSimCluster(t, 10)
	cluster.allowRacingStarts, cluster.taskTime, cluster.cloudDegraded = true, 5*time.Minute, true
	requireAccepted(t, cluster.submit("a", "req-free-1", 2, ""))
	cluster.waitUntilStarted("req-free-1", 2)
	for _, id := range slices.Sorted(maps.Keys(cluster.workers)) {
		if len(cluster.workers[id].Tasks) > 0 {
			cluster.hang(id, 12*time.Second)
		}
	}
	cluster.cancelJob("a", "req-free-1")
	cluster.run(2*time.Second, nil)
	requireAccepted(t, cluster.submit("c", "req-blue-1", 1, dependenciesField("req-free-1")))
	cluster.run(2*time.Second, nil)
	for _, node := range cluster.names {
		if got := cluster.stateSeenBy(node, "req-blue-1"); got != protocol.Cancelled {
			t.Errorf("%s: got state %q, want cancelled", node, got)
		}
	}
	if cluster.kv[jobKey("req-free-1")].Version == 0 {
		t.Fatal("the dependency has ended already")
	}
}
