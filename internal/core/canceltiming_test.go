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

// tunedIdleWorld is idleWorld with other settings for the worker lease and cancellations.
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

// A job is cancelled at the moment at which the store begins to refuse the leader alone. A second
// later the store is down for longer than cancel_s, and up to eight of the job's machines
// hang and go on later.
func TestCancellationWhenStoreBeginsToRefuseLeader(t *testing.T) {
	times := []struct{ lease, cancel float64 }{{16, 30}, {12, 32}, {26, 51}, {16, 20}}
	hangs := map[string]func(w *world) time.Duration{
		"no hang":                 func(*world) time.Duration { return 0 },
		"shorter than the lease":  func(w *world) time.Duration { return w.lease() * 3 / 4 },
		"just under cancel_s":     func(w *world) time.Duration { return w.cancelDeadline() - time.Second },
		"just over cancel_s":      func(w *world) time.Duration { return w.cancelDeadline() + time.Second },
		"hang and silent":         func(w *world) time.Duration { return w.lease() / 2 },
		"then report to one more": func(w *world) time.Duration { return w.lease() / 2 },
	}
	for hang, long := range hangs {
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
						if d := long(w); d > 0 && hung < 8 && w.loadOf(w.workers[id], "").CPUs > 0 {
							w.hang(id, d)
							w.silentWorkers[id] = hang == "hang and silent"
							w.workerCannotReach[link{leader, id}] = hang == "then report to one more"
							hung++
						}
					}
					w.refuseStoreTo(leader)
					w.confirmCancellation()
					w.run(time.Second, nil)
					w.outage = true
					before := w.onMachines(cancelledJob)
					if hang != "no hang" && (hung != 8 || before == 0) {
						t.Fatalf("%d machines hang, with %d tasks", hung, before)
					}
					w.run(w.cancelDeadline()*5/4, nil) // the world checks what is cancelled
					if len(w.cancellationToldAt) > 0 {
						t.Error("the time allowed is not over")
					}
					w.recover()
					w.run(w.cancelDeadline(), nil)
					if n := w.onMachines(cancelledJob); n > 0 {
						t.Errorf("%d tasks run on", n)
					}
				})
			}
		}
	}
}

// lastTasksEnd is a scenario in which a cancellation, a status request and a repeated submission
// come while the last tasks of a job end.
type lastTasksEnd struct {
	name  string
	tasks int
	// more describes the job further.
	more string
	// atLeader sends the requests to the job's leader, or else to another controller.
	atLeader bool
	// tenths is how many tenths of a second after the end of the last task they are sent; before
	// the expected end if it is negative.
	tenths int
}

// endingJob is the job whose last tasks end.
const endingJob = "req-free-1"

// A cancellation, status requests and a repeated submission come while a job's last tasks end,
// without faults: at the leader and elsewhere, before and after the report, the write of
// the end and its reply. The job is done or cancelled, all say the same, done not before
// all tasks have ended, and within 3 s.
func TestCancellationDuringLastTasksEnd(t *testing.T) {
	for _, d := range []lastTasksEnd{
		{name: "one task", tasks: 1},
		{name: "two tasks that end in one report", tasks: 2},
		{name: "several chunks", tasks: 130},
		{name: "a gang", tasks: 2, more: `,"shape":"group"`},
		{name: "a gang in one place", tasks: 2, more: `,"shape":"group","samePlace":true`},
	} {
		outcomes := map[string]int{}
		for _, atLeader := range []bool{true, false} {
			for tenths := -4; tenths < 12; tenths++ {
				d.atLeader, d.tenths = atLeader, tenths
				outcomes[d.run(t)]++
			}
		}
		if outcomes[protocol.Done] == 0 || outcomes[protocol.Cancelled] == 0 {
			t.Errorf("%s: the end and the cancellation never came close: %v", d.name, outcomes)
		}
	}
}

// run plays the scenario and returns the state that the user is told.
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
	told := stateOf(t, cancel)
	w.run(2*time.Second, nil)
	d.checkState(t, w, told.State)
	return told.State
}

// body is the submission of the job.
func (d lastTasksEnd) body() []byte { return []byte(submission(endingJob, "free", d.tasks, d.more)) }

// ended tells whether all tasks have ended.
func (d lastTasksEnd) ended(w *world) bool {
	for n := range d.tasks {
		if !w.completed[fmt.Sprintf("%s/%d", endingJob, n)] {
			return false
		}
	}
	return true
}

// awaitMoment lets the time pass until the requests are to be sent.
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

// sendRequests sends the requests at once, checks their answers and returns that to the cancellation.
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
				t.Errorf("%s: done before all has ended", d.name)
			}
			if a.Status == http.StatusNotFound || a.Status == http.StatusBadRequest || a.Status == http.StatusUnprocessableEntity {
				t.Errorf("%s: %s gets %d", d.name, name, a.Status)
			}
			if name == "cancel" {
				cancel = a
			}
		}
		return len(requests) == 0
	})
	return cancel
}

// checkState checks that every controller reports the state that the user was told.
func (d lastTasksEnd) checkState(t *testing.T, w *world, told string) {
	t.Helper()
	for _, n := range w.names {
		if s := stateOf(t, w.status(n, endingJob)); s.State != told {
			t.Errorf("%s, %d tenths, at leader %v: told %s, and %s by %s", d.name, d.tenths, d.atLeader, told, s.State, n)
		}
		repeat := func(req uint64) Command { return Submit{Req: req, Body: d.body()} }
		if s := stateOf(t, w.request(n, repeat)); s.State != told {
			t.Errorf("%s: a repeat is answered %s after %s", d.name, s.State, told)
		}
	}
}

// A job's last task ends while its user cancels at a controller whose replica is behind and that
// the leader gets no messages from: the job is done or cancelled, and stays so.
func TestJobIsEitherDoneOrCancelled(t *testing.T) {
	seen := map[string]int{}
	for tenths := range 16 {
		w := newWorldOf(t, fiveNodes).ready()
		w.allowRacingStarts = true
		accepted(t, w.submit("a", "req-blue-1", 1, ""))
		w.started("req-blue-1", 1)
		leader := w.cores["a"].teamBy["blue"].leader
		w.run(4200*time.Millisecond+time.Duration(tenths)*100*time.Millisecond, nil)
		for _, f := range w.workers {
			f.node = slices.Index(w.names, leader) // it learns of the end by a report
		}
		w.slowWatcher = leader
		w.hold(everyLink)
		var a Answer
		for range 5 { // it waits until another controller knows
			if a = w.request("a", func(req uint64) Command { return Cancel{Req: req, ID: "req-blue-1"} }); a.Status == http.StatusOK {
				break
			}
			w.run(time.Second, nil)
		}
		told := stateOf(t, a)
		w.run(5*time.Second, nil)
		w.slowWatcher = ""
		w.restore()
		w.run(10*time.Second, nil)
		seen[told.State]++
		for _, n := range w.names {
			if s := stateOf(t, w.status(n, "req-blue-1")); s.State != told.State {
				t.Errorf("cancelled after %d tenths: told %s, and %s by %s", tenths, told.State, s.State, n)
			}
		}
	}
	if seen[protocol.Done] == 0 || seen[protocol.Cancelled] == 0 {
		t.Errorf("the end and the cancellation never came close: %v", seen)
	}
}

// A cancellation is stored before the write that binds more of the job's tasks, and the leader
// hears of it before the reply to that write: the job ends after a few writes.
func TestCancellationDuringBindingWrite(t *testing.T) {
	const id = "req-free-1"
	w := newWorldOf(t, fiveNodes).ready()
	w.allowRacingStarts, w.taskTime = true, 10*time.Minute
	leader, writes, met := w.leaderOf("free"), 0, false
	w.onEffect = func(node string, e Effect) {
		txn, is := e.(StoreTxn)
		if !is || node != leader || !slices.ContainsFunc(txn.Txn.Then, func(ch protocol.Change) bool { return ch.Put == jobKey(id) }) {
			return
		}
		if writes++; met || len(txn.Txn.If) < 4 {
			return // it binds nothing
		}
		met = true
		r := w.decide(protocol.Txn{If: []protocol.Condition{{Key: keyState + id}},
			Then: []protocol.Change{putJSON(keyState+id, finalStateRecord{State: protocol.Cancelled}), putJSON(cancelKey(id), cancelRecord{})}})
		w.send(leader, PeerMessageReceived{Node: w.anotherNode(leader), Message: PeerMessage{Cancellations: []Cancellation{{Job: id, Revision: r.Revision}}}})
	}
	accepted(t, w.submit("a", id, 40, ""))
	if !w.run(20*time.Second, func() bool { return met }) {
		t.Fatal("nothing was bound")
	}
	writes = 0
	if !w.run(20*time.Second, func() bool { return w.kv[jobKey(id)].Version == 0 }) || writes > 5 {
		t.Errorf("it has not ended, after %d writes", writes)
	}
}
