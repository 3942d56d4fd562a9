package core

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// newIdleSimClusterWithSettings returns an idle simulated cluster with the given worker lease and
// cancellation deadline in seconds.
func newIdleSimClusterWithSettings(t tester, machines int, lease, cancel float64) *simCluster {
	t.Helper()
	cluster := newSimClusterWithSettings(t, fiveNodes, func(s *settings.Settings) { s.Params.Workers.LeaseS, s.Params.Workers.CancelS = lease, cancel })
	cluster.maxMachines, cluster.allowRacingStarts, cluster.taskTime = machines, true, 20*time.Minute
	for i := range machines {
		cluster.addWorker(fmt.Sprintf("z%d", 1+i%2), false)
	}
	cluster.waitUntilReady().run(10*time.Second, nil)
	return cluster
}

// A job is cancelled when the store begins to refuse requests of the leader alone. One second later
// the store fails for longer than cancel_s, while up to eight of the job's machines hang and then
// resume.
func TestCancellationWhenStoreBeginsToRefuseLeader(t *testing.T) {
	times := []struct{ workerLease, cancel float64 }{{16, 30}, {12, 32}, {26, 51}, {16, 20}}
	hangs := map[string]func(cluster *simCluster) time.Duration{
		"no hang":                      func(*simCluster) time.Duration { return 0 },
		"shorter than the lease":       func(cluster *simCluster) time.Duration { return cluster.workerLease() * 3 / 4 },
		"just under cancel_s":          func(cluster *simCluster) time.Duration { return cluster.cancelDeadline() - time.Second },
		"just over cancel_s":           func(cluster *simCluster) time.Duration { return cluster.cancelDeadline() + time.Second },
		"hang and do not report":       func(cluster *simCluster) time.Duration { return cluster.workerLease() / 2 },
		"report to another controller": func(cluster *simCluster) time.Duration { return cluster.workerLease() / 2 },
	}
	for hang, duration := range hangs {
		for _, p := range times {
			for _, links := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, lease %v, cancel %v, links %v", hang, p.workerLease, p.cancel, links), func(t *testing.T) {
					t.Parallel()
					cluster := newIdleSimClusterWithSettings(t, 20, p.workerLease, p.cancel)
					requireAccepted(t, cluster.submit("b", cancelledJobID, 40, ""))
					cluster.waitUntilStarted(cancelledJobID, 40)
					leader := cluster.leaderOf("free")
					if !links {
						cluster.disconnectLinks(everyLink)
					}
					hung := 0
					for _, id := range slices.Sorted(maps.Keys(cluster.workers)) {
						if d := duration(cluster); d > 0 && hung < 8 && cluster.loadOf(cluster.workers[id], "").CPUs > 0 {
							cluster.hang(id, d)
							cluster.nonReportingWorkers[id] = hang == "hang and do not report"
							cluster.brokenWorkerLinks[link{leader, id}] = hang == "report to another controller"
							hung++
						}
					}
					cluster.refuseStoreTo(leader)
					cluster.confirmCancellation()
					cluster.run(time.Second, nil)
					cluster.outage = true
					before := cluster.onMachines(cancelledJobID)
					if hang != "no hang" && (hung != 8 || before == 0) {
						t.Fatalf("got %d hung machines and %d running tasks, want 8 machines and some tasks", hung, before)
					}
					cluster.run(cluster.cancelDeadline()*5/4, nil) // the simulation checks the deadlines of cancellations
					if len(cluster.cancelConfirmedAt) > 0 {
						t.Error("the scenario ended before the deadline")
					}
					cluster.recover()
					cluster.run(cluster.cancelDeadline(), nil)
					if n := cluster.onMachines(cancelledJobID); n > 0 {
						t.Errorf("got %d running tasks, want none", n)
					}
				})
			}
		}
	}
}

// lastTasksEnd is a scenario in which a cancellation, a status request and a repeated submission
// arrive while the last tasks of a job end.
type lastTasksEnd struct {
	name  string
	tasks int
	// extraFields contains additional JSON fields of the submission.
	extraFields string
	// atLeader selects whether the requests are sent to the job's leader or to another
	// controller.
	atLeader bool
	// tenths is the delay in tenths of a second between the end of the last task and the
	// requests. If it is negative, they are sent before the expected end.
	tenths int
}

// endingJob is the job whose last tasks end.
const endingJob = "req-free-1"

// A cancellation, a status request and a repeated submission arrive while a job's last tasks end,
// without faults: at the leader and at another controller, before and after the worker's
// report, the write of the final state and its reply. Within 3 s the job is either done or
// cancelled, all controllers agree on which, and none reports it as done before all tasks have
// ended.
func TestCancellationDuringLastTasksEnd(t *testing.T) {
	for _, d := range []lastTasksEnd{
		{name: "one task", tasks: 1},
		{name: "two tasks that end in the same report", tasks: 2},
		{name: "several chunks", tasks: 130},
		{name: "a gang", tasks: 2, extraFields: `,"shape":"group"`},
		{name: "a gang in one zone", tasks: 2, extraFields: `,"shape":"group","samePlace":true`},
	} {
		outcomes := map[string]int{}
		for _, atLeader := range []bool{true, false} {
			for tenths := -4; tenths < 12; tenths++ {
				d.atLeader, d.tenths = atLeader, tenths
				outcomes[d.run(t)]++
			}
		}
		if outcomes[protocol.Done] == 0 || outcomes[protocol.Cancelled] == 0 {
			t.Errorf("%s: got outcomes %v, want some done and some cancelled", d.name, outcomes)
		}
	}
}

// run runs the scenario and returns the state in the answer to the cancellation.
func (d lastTasksEnd) run(t *testing.T) string {
	t.Helper()
	cluster := newSimClusterOf(t, fiveNodes).waitUntilReady()
	cluster.allowRacingStarts, cluster.taskTime, cluster.maxMachines = true, 6*time.Second, 80
	cluster.watchLag, cluster.latency = 300*time.Millisecond, true
	requireAccepted(t, cluster.submit("a", endingJob, d.tasks, d.extraFields))
	cluster.run(time.Minute, func() bool { return cluster.startsOf(endingJob) == d.tasks })
	d.runUntilRequestTime(cluster)
	node := cluster.leaderOf("free")
	if !d.atLeader {
		node = cluster.anotherController(node)
	}
	cancel := d.sendRequests(t, cluster, node)
	for range 5 {
		if cancel.Status == http.StatusOK {
			break
		}
		cancel = cluster.request(node, func(req uint64) Command { return Cancel{Req: req, ID: endingJob} })
	}
	answered := requireJobState(t, cancel)
	cluster.run(2*time.Second, nil)
	d.checkState(t, cluster, answered.State)
	return answered.State
}

// body returns the body of the job's submission.
func (d lastTasksEnd) body() []byte {
	return []byte(submission(endingJob, "free", d.tasks, d.extraFields))
}

// ended reports whether all tasks have ended.
func (d lastTasksEnd) ended(cluster *simCluster) bool {
	for n := range d.tasks {
		if !cluster.completed[fmt.Sprintf("%s/%d", endingJob, n)] {
			return false
		}
	}
	return true
}

// runUntilRequestTime runs the simulation until the time at which the scenario sends the requests.
func (d lastTasksEnd) runUntilRequestTime(cluster *simCluster) {
	const earliest = 5500 * time.Millisecond
	begin, offset := cluster.now, time.Duration(d.tenths)*100*time.Millisecond
	cluster.run(20*time.Second, func() bool {
		elapsed := cluster.now - begin
		return d.ended(cluster) || elapsed >= earliest && d.tenths < 0 && elapsed >= cluster.taskTime+offset
	})
	if d.ended(cluster) {
		cluster.run(max(0, offset), nil)
	}
}

// sendRequests sends all requests at the same time, checks the answers and returns the one to the
// cancellation.
func (d lastTasksEnd) sendRequests(t *testing.T, cluster *simCluster, node string) (cancel Answer) {
	t.Helper()
	requests := map[uint64]string{}
	for name, command := range ordered(map[string]func(req uint64) Command{
		"cancel": func(req uint64) Command { return Cancel{Req: req, ID: endingJob} },
		"ask":    func(req uint64) Command { return Status{Req: req, ID: endingJob} },
		"repeat": func(req uint64) Command { return Submit{Req: req, Body: d.body()} },
	}) {
		cluster.nextReq++
		requests[cluster.nextReq] = name
		cluster.send(node, command(cluster.nextReq))
	}
	cluster.run(2*time.Second, func() bool {
		for req, name := range requests {
			a, answered := cluster.answers[req]
			if !answered {
				continue
			}
			delete(requests, req)
			if s, is := a.Body.(protocol.JobState); is && s.State == protocol.Done && !d.ended(cluster) {
				t.Errorf("%s: reported as done before all tasks have ended", d.name)
			}
			if a.Status == http.StatusNotFound || a.Status == http.StatusBadRequest || a.Status == http.StatusUnprocessableEntity {
				t.Errorf("%s: %s: got status %d", d.name, name, a.Status)
			}
			if name == "cancel" {
				cancel = a
			}
		}
		return len(requests) == 0
	})
	return cancel
}

// checkState checks that every controller reports the state that the answer to the cancellation
// contained.
func (d lastTasksEnd) checkState(t *testing.T, cluster *simCluster, want string) {
	t.Helper()
	for _, n := range cluster.names {
		if s := requireJobState(t, cluster.status(n, endingJob)); s.State != want {
			t.Errorf("%s, %d tenths, at leader %v: cancellation answered %s, but status is %s at %s", d.name, d.tenths, d.atLeader, want, s.State, n)
		}
		repeat := func(req uint64) Command { return Submit{Req: req, Body: d.body()} }
		if s := requireJobState(t, cluster.request(n, repeat)); s.State != want {
			t.Errorf("%s: repeated submission: got state %s, want %s", d.name, s.State, want)
		}
	}
}

// A job's last task ends while its user cancels it at a controller whose messages to the leader are
// held back, and the leader's watch is stalled. The job is either done or cancelled and stays so.
func TestJobIsEitherDoneOrCancelled(t *testing.T) {
	outcomes := map[string]int{}
	for tenths := range 16 {
		cluster := newSimClusterOf(t, fiveNodes).waitUntilReady()
		cluster.allowRacingStarts = true
		requireAccepted(t, cluster.submit("a", "req-blue-1", 1, ""))
		cluster.waitUntilStarted("req-blue-1", 1)
		leader := cluster.cores["a"].teamsByName["blue"].leader
		cluster.run(4200*time.Millisecond+time.Duration(tenths)*100*time.Millisecond, nil)
		for _, f := range cluster.workers {
			f.node = slices.Index(cluster.names, leader) // the leader learns of the end from a report
		}
		cluster.blockedWatcher = leader
		cluster.delayLinks(everyLink)
		var a Answer
		for range 5 { // the cancellation is confirmed only once another controller knows of it
			if a = cluster.request("a", func(req uint64) Command { return Cancel{Req: req, ID: "req-blue-1"} }); a.Status == http.StatusOK {
				break
			}
			cluster.run(time.Second, nil)
		}
		answered := requireJobState(t, a)
		cluster.run(5*time.Second, nil)
		cluster.blockedWatcher = ""
		cluster.restoreLinks()
		cluster.run(10*time.Second, nil)
		outcomes[answered.State]++
		for _, n := range cluster.names {
			if s := requireJobState(t, cluster.status(n, "req-blue-1")); s.State != answered.State {
				t.Errorf("cancelled after %d tenths: cancellation answered %s, but status is %s at %s", tenths, answered.State, s.State, n)
			}
		}
	}
	if outcomes[protocol.Done] == 0 || outcomes[protocol.Cancelled] == 0 {
		t.Errorf("got outcomes %v, want some done and some cancelled", outcomes)
	}
}

// A cancellation is stored right before the leader's write that binds more tasks of the job, and
// the leader learns of the cancellation before the reply to its write. The job ends after at most
// five more writes.
func TestCancellationDuringBindingWrite(t *testing.T) {
	const id = "req-free-1"
	cluster := newSimClusterOf(t, fiveNodes).waitUntilReady()
	cluster.allowRacingStarts, cluster.taskTime = true, 10*time.Minute
	leader, writes, cancelled := cluster.leaderOf("free"), 0, false
	cluster.onEffect = func(node string, e Effect) {
		txn, is := e.(StoreTxn)
		if !is || node != leader || !slices.ContainsFunc(txn.Txn.Then, func(ch protocol.Change) bool { return ch.Put == jobKey(id) }) {
			return
		}
		if writes++; cancelled || len(txn.Txn.If) < 4 {
			return // it binds nothing
		}
		cancelled = true
		r := cluster.commitTxn(protocol.Txn{If: []protocol.Condition{{Key: keyState + id}},
			Then: []protocol.Change{putJSON(keyState+id, finalStateRecord{State: protocol.Cancelled}), putJSON(cancelKey(id), cancelRecord{})}})
		cluster.send(leader, PeerMessageReceived{Node: cluster.anotherController(leader), Message: PeerMessage{Cancellations: []Cancellation{{Job: id, Revision: r.Revision}}}})
	}
	requireAccepted(t, cluster.submit("a", id, 40, ""))
	if !cluster.run(20*time.Second, func() bool { return cancelled }) {
		t.Fatal("no task was bound")
	}
	writes = 0
	if !cluster.run(20*time.Second, func() bool { return cluster.kv[jobKey(id)].Version == 0 }) || writes > 5 {
		t.Errorf("got %d writes, want the job to end after at most 5", writes)
	}
}
