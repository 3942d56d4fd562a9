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

// tunedIdleWorld returns an idle world with the given worker lease and cancellation deadline in
// seconds.
func tunedIdleWorld(t tester, machines int, lease, cancel float64) *world {
	t.Helper()
	w := newTunedWorld(t, fiveNodes, func(s *settings.Settings) { s.Params.Workers.LeaseS, s.Params.Workers.CancelS = lease, cancel })
	w.maxMachines, w.allowRacingStarts, w.taskTime = machines, true, 20*time.Minute
	for i := range machines {
		w.addWorker(fmt.Sprintf("z%d", 1+i%2), false)
	}
	w.ready().run(10*time.Second, nil)
	return w
}

// A job is cancelled when the store begins to refuse requests of the leader alone. One second later
// the store fails for longer than cancel_s, while up to eight of the job's machines hang and then
// resume.
func TestCancellationWhenStoreBeginsToRefuseLeader(t *testing.T) {
	times := []struct{ lease, cancel float64 }{{16, 30}, {12, 32}, {26, 51}, {16, 20}}
	hangs := map[string]func(w *world) time.Duration{
		"no hang":                      func(*world) time.Duration { return 0 },
		"shorter than the lease":       func(w *world) time.Duration { return w.lease() * 3 / 4 },
		"just under cancel_s":          func(w *world) time.Duration { return w.cancelDeadline() - time.Second },
		"just over cancel_s":           func(w *world) time.Duration { return w.cancelDeadline() + time.Second },
		"hang and silent":              func(w *world) time.Duration { return w.lease() / 2 },
		"report to another controller": func(w *world) time.Duration { return w.lease() / 2 },
	}
	for hang, duration := range hangs {
		for _, p := range times {
			for _, links := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, lease %v, cancel %v, links %v", hang, p.lease, p.cancel, links), func(t *testing.T) {
					t.Parallel()
					w := tunedIdleWorld(t, 20, p.lease, p.cancel)
					accepted(t, w.submit("b", cancelledJob, 40, ""))
					w.started(cancelledJob, 40)
					leader := w.leaderOf("free")
					if !links {
						w.refuse(everyLink)
					}
					hung := 0
					for _, id := range slices.Sorted(maps.Keys(w.workers)) {
						if d := duration(w); d > 0 && hung < 8 && w.loadOf(w.workers[id], "").CPUs > 0 {
							w.hang(id, d)
							w.silentWorkers[id] = hang == "hang and silent"
							w.workerCannotReach[link{leader, id}] = hang == "report to another controller"
							hung++
						}
					}
					w.refuseStoreTo(leader)
					w.confirmCancellation()
					w.run(time.Second, nil)
					w.outage = true
					before := w.onMachines(cancelledJob)
					if hang != "no hang" && (hung != 8 || before == 0) {
						t.Fatalf("got %d hung machines and %d running tasks, want 8 machines and some tasks", hung, before)
					}
					w.run(w.cancelDeadline()*5/4, nil) // the world checks the deadlines of cancellations
					if len(w.cancellationToldAt) > 0 {
						t.Error("the scenario ended before the deadline")
					}
					w.recover()
					w.run(w.cancelDeadline(), nil)
					if n := w.onMachines(cancelledJob); n > 0 {
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
	// more contains additional JSON fields of the submission.
	more string
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
		{name: "a gang", tasks: 2, more: `,"shape":"group"`},
		{name: "a gang in one zone", tasks: 2, more: `,"shape":"group","samePlace":true`},
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
	w := newWorldOf(t, fiveNodes).ready()
	w.allowRacingStarts, w.taskTime, w.maxMachines = true, 6*time.Second, 80
	w.watchLag, w.latency = 300*time.Millisecond, true
	accepted(t, w.submit("a", endingJob, d.tasks, d.more))
	w.run(time.Minute, func() bool { return w.startsOf(endingJob) == d.tasks })
	d.awaitMoment(w)
	node := w.leaderOf("free")
	if !d.atLeader {
		node = w.anotherNode(node)
	}
	cancel := d.sendRequests(t, w, node)
	for range 5 {
		if cancel.Status == http.StatusOK {
			break
		}
		cancel = w.request(node, func(req uint64) Command { return Cancel{Req: req, ID: endingJob} })
	}
	answered := stateOf(t, cancel)
	w.run(2*time.Second, nil)
	d.checkState(t, w, answered.State)
	return answered.State
}

// body returns the body of the job's submission.
func (d lastTasksEnd) body() []byte { return []byte(submission(endingJob, "free", d.tasks, d.more)) }

// ended reports whether all tasks have ended.
func (d lastTasksEnd) ended(w *world) bool {
	for n := range d.tasks {
		if !w.completed[fmt.Sprintf("%s/%d", endingJob, n)] {
			return false
		}
	}
	return true
}

// awaitMoment runs the world until the requests are to be sent.
func (d lastTasksEnd) awaitMoment(w *world) {
	const earliest = 5500 * time.Millisecond
	begin, offset := w.now, time.Duration(d.tenths)*100*time.Millisecond
	w.run(20*time.Second, func() bool {
		elapsed := w.now - begin
		return d.ended(w) || elapsed >= earliest && d.tenths < 0 && elapsed >= w.taskTime+offset
	})
	if d.ended(w) {
		w.run(max(0, offset), nil)
	}
}

// sendRequests sends all requests at the same time, checks the answers and returns the one to the
// cancellation.
func (d lastTasksEnd) sendRequests(t *testing.T, w *world, node string) (cancel Answer) {
	t.Helper()
	requests := map[uint64]string{}
	for name, command := range ordered(map[string]func(req uint64) Command{
		"cancel": func(req uint64) Command { return Cancel{Req: req, ID: endingJob} },
		"ask":    func(req uint64) Command { return Status{Req: req, ID: endingJob} },
		"repeat": func(req uint64) Command { return Submit{Req: req, Body: d.body()} },
	}) {
		w.nextReq++
		requests[w.nextReq] = name
		w.send(node, command(w.nextReq))
	}
	w.run(2*time.Second, func() bool {
		for req, name := range requests {
			a, answered := w.answers[req]
			if !answered {
				continue
			}
			delete(requests, req)
			if s, is := a.Body.(protocol.JobState); is && s.State == protocol.Done && !d.ended(w) {
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

// checkState checks that every controller reports the given state, with which the cancellation was
// answered.
func (d lastTasksEnd) checkState(t *testing.T, w *world, want string) {
	t.Helper()
	for _, n := range w.names {
		if s := stateOf(t, w.status(n, endingJob)); s.State != want {
			t.Errorf("%s, %d tenths, at leader %v: cancellation answered %s, but status is %s at %s", d.name, d.tenths, d.atLeader, want, s.State, n)
		}
		repeat := func(req uint64) Command { return Submit{Req: req, Body: d.body()} }
		if s := stateOf(t, w.request(n, repeat)); s.State != want {
			t.Errorf("%s: repeated submission: got state %s, want %s", d.name, s.State, want)
		}
	}
}

// A job's last task ends while its user cancels it at a controller whose messages to the leader are
// held back, and the leader's watch is stalled. The job is either done or cancelled and stays so.
func TestJobIsEitherDoneOrCancelled(t *testing.T) {
	outcomes := map[string]int{}
	for tenths := range 16 {
		w := newWorldOf(t, fiveNodes).ready()
		w.allowRacingStarts = true
		accepted(t, w.submit("a", "req-blue-1", 1, ""))
		w.started("req-blue-1", 1)
		leader := w.cores["a"].teamBy["blue"].leader
		w.run(4200*time.Millisecond+time.Duration(tenths)*100*time.Millisecond, nil)
		for _, f := range w.workers {
			f.node = slices.Index(w.names, leader) // the leader learns of the end from a report
		}
		w.slowWatcher = leader
		w.hold(everyLink)
		var a Answer
		for range 5 { // the answer waits until another controller knows
			if a = w.request("a", func(req uint64) Command { return Cancel{Req: req, ID: "req-blue-1"} }); a.Status == http.StatusOK {
				break
			}
			w.run(time.Second, nil)
		}
		answered := stateOf(t, a)
		w.run(5*time.Second, nil)
		w.slowWatcher = ""
		w.restore()
		w.run(10*time.Second, nil)
		outcomes[answered.State]++
		for _, n := range w.names {
			if s := stateOf(t, w.status(n, "req-blue-1")); s.State != answered.State {
				t.Errorf("cancelled after %d tenths: cancellation answered %s, but status is %s at %s", tenths, answered.State, s.State, n)
			}
		}
	}
	if outcomes[protocol.Done] == 0 || outcomes[protocol.Cancelled] == 0 {
		t.Errorf("got outcomes %v, want some done and some cancelled", outcomes)
	}
}

// A cancellation is stored before a write that binds more tasks of the job, and the leader learns
// of it before the reply to that write. The job ends after a few more writes.
func TestCancellationDuringBindingWrite(t *testing.T) {
	const id = "req-free-1"
	w := newWorldOf(t, fiveNodes).ready()
	w.allowRacingStarts, w.taskTime = true, 10*time.Minute
	leader, writes, cancelled := w.leaderOf("free"), 0, false
	w.onEffect = func(node string, e Effect) {
		txn, is := e.(StoreTxn)
		if !is || node != leader || !slices.ContainsFunc(txn.Txn.Then, func(ch protocol.Change) bool { return ch.Put == jobKey(id) }) {
			return
		}
		if writes++; cancelled || len(txn.Txn.If) < 4 {
			return // it binds nothing
		}
		cancelled = true
		r := w.decide(protocol.Txn{If: []protocol.Condition{{Key: keyState + id}},
			Then: []protocol.Change{putJSON(keyState+id, finalStateRecord{State: protocol.Cancelled}), putJSON(cancelKey(id), cancelRecord{})}})
		w.send(leader, PeerMessageReceived{Node: w.anotherNode(leader), Message: PeerMessage{Cancellations: []Cancellation{{Job: id, Revision: r.Revision}}}})
	}
	accepted(t, w.submit("a", id, 40, ""))
	if !w.run(20*time.Second, func() bool { return cancelled }) {
		t.Fatal("no task was bound")
	}
	writes = 0
	if !w.run(20*time.Second, func() bool { return w.kv[jobKey(id)].Version == 0 }) || writes > 5 {
		t.Errorf("got %d writes, want the job to end after at most 5", writes)
	}
}
