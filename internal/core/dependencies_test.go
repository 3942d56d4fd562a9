package core

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"pepperlever/internal/core/dependency"
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/scaling"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// awaiting is the field of a submission that awaits jobs.
func awaiting(ids ...string) string { return `,"awaits":["` + strings.Join(ids, `","`) + `"]` }

// stance is what a controller says of a job, or nothing.
func (w *world) stance(node, id string) string {
	w.t.Helper()
	if a := w.status(node, id); a.Status == http.StatusOK {
		return a.Body.(protocol.JobState).State
	}
	return ""
}

// Every submission that awaits others has its stated answer (docs/chains.md).
func TestSubmissionThatAwaitsIsAnswered(t *testing.T) {
	w := idleWorld(t, 10)
	w.taskTime = time.Minute
	accepted(t, w.submit("a", "req-free-run", 1, ""))
	w.started("req-free-run", 1)
	accepted(t, w.submit("a", "req-free-off", 1, ""))
	w.cancelJob("a", "req-free-off")
	accepted(t, w.submit("a", "req-free-svc", 1, `,"shape":"service","guessS":0.0,"dueS":null`))
	w.taskTime = time.Second
	accepted(t, w.submit("a", "req-free-end", 1, ""))
	w.run(time.Minute, w.finished("req-free-end"))
	names := make([]string, 400)
	for i := range names {
		names[i] = fmt.Sprintf("req-free-%d", i)
	}
	for i, c := range []struct {
		what, more string
		status     int
	}{
		{"null", `,"awaits":null`, http.StatusCreated},
		{"an empty list", `,"awaits":[]`, http.StatusCreated},
		{"no list", `,"awaits":"req-free-run"`, http.StatusBadRequest},
		{"a malformed id", awaiting("run"), http.StatusBadRequest},
		{"a number", `,"awaits":[4]`, http.StatusBadRequest},
		{"one that runs", awaiting("req-free-run"), http.StatusCreated},
		{"one twice", awaiting("req-free-run", "req-free-run"), http.StatusCreated},
		{"one of another team", awaiting("req-free-end"), http.StatusCreated},
		{"one that is cancelled", awaiting("req-free-off"), http.StatusCreated},
		{"one never accepted", awaiting("req-free-run", "req-free-none"), http.StatusUnprocessableEntity},
		{"a service", awaiting("req-free-svc"), http.StatusUnprocessableEntity},
		{"itself", awaiting("req-blue-11"), http.StatusUnprocessableEntity},
		{"hundreds", awaiting(names...), http.StatusBadRequest},
	} {
		node := w.names[i%len(w.names)]
		if a := w.submit(node, fmt.Sprintf("req-blue-%d", i), 1, c.more); a.Status != c.status {
			t.Errorf("%s: got %d %v, want %d", c.what, a.Status, a.Body, c.status)
		}
	}
	if a := w.submit("b", "req-blue-5", 1, awaiting("req-free-none")); a.Status != http.StatusOK {
		t.Errorf("a repeat that names a job which nobody knows got %d", a.Status)
	}
	w.run(5*time.Second, nil)
	for id, want := range map[string]string{"req-blue-5": protocol.Queued, "req-blue-8": protocol.Cancelled} {
		for _, node := range w.names {
			if got := w.stance(node, id); got != want {
				t.Errorf("%s says that %s is %q, want %s", node, id, got, want)
			}
		}
	}
	if got := w.status("c", "req-blue-5").Body.(protocol.JobState).Awaits; !slices.Equal(got, []string{"req-free-run"}) {
		t.Errorf("its user is told that it awaits %v", got)
	}
}

// While a controller may have the version before, nothing that this one would not know is
// accepted, and it is once all have stated theirs.
func TestAwaitsTakeEffectOnceAllAreUpgraded(t *testing.T) {
	w := newWorld(t)
	w.notUpgraded["c"] = true
	w.ready().run(5*time.Second, nil)
	accepted(t, w.submit("a", "req-free-1", 1, ""))
	if a := w.submit("a", "req-free-2", 1, awaiting("req-free-1")); a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
		t.Errorf("got %d while one controller has the version before", a.Status)
	}
	w.crash("c")
	w.expire("c")
	delete(w.notUpgraded, "c")
	w.boot("c")
	w.run(10*time.Second, nil)
	accepted(t, w.submit("a", "req-free-2", 1, awaiting("req-free-1")))
	// It was stated for good: no controller has to live for it.
	w.crash("b")
	w.expire("b")
	w.run(5*time.Second, nil)
	accepted(t, w.submit("a", "req-free-3", 1, awaiting("req-free-2")))
	if !w.run(2*time.Minute, w.finished("req-free-3")) {
		t.Error("the chain does not end")
	}
}

// A chain of ten over three teams is done in order, although the homes of two teams end
// on the way, and after each takeover the new home knows what is done, also an hour ago.
func TestChainOfTenPassesTakeovers(t *testing.T) {
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
			home := w.leaderOf(next)
			w.crash(home)
			w.expire(home)
			w.run(20*time.Second, func() bool { h := w.leaderOf(next); return h != "" && h != home })
			w.boot(home)
		}
		if !w.run(2*time.Minute, w.finished(id)) {
			t.Fatalf("%s does not end", id)
		}
	}
	w.startedOnce()
}

// A job that waits holds nothing: neither room, nor its team's limit, nor a place in the
// ranking, nor machines that are rented; and its time begins when it can.
func TestWaitingJobHoldsNothing(t *testing.T) {
	w := idleWorld(t, 10)
	w.taskTime = 40 * time.Second
	accepted(t, w.submit("a", "req-red-1", 1, ""))
	accepted(t, w.submit("a", "req-red-2", 30, awaiting("req-red-1")))
	w.run(10*time.Second, nil)
	c := w.cores[w.leaderOf("red")]
	j, team := c.jobs["req-red-2"], c.teamBy["red"]
	if !j.Awaiting || c.startAllowance(j) != 0 || c.waitingNeed(team) != (job.Resources{}) {
		t.Errorf("it asks for %d tasks, its team for %v", c.startAllowance(j), c.waitingNeed(team))
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
	if waited := w.now - j.WaitingSince; waited > 2*time.Second {
		t.Errorf("it counts as having waited for %v", waited)
	}
	w.started("req-red-2", 1)
}

// What an urgent job needs is as urgent, whoever asks for it first.
func TestAwaitedJobIsAsUrgentAsWhatNeedsIt(t *testing.T) {
	w := idleWorld(t, 0)
	w.maxMachines = 0
	accepted(t, w.submit("a", "req-free-1", 4, `,"urgency":"low","dueS":null`))
	accepted(t, w.submit("a", "req-blue-1", 4, `,"urgency":"critical","dueS":30.0`+awaiting("req-free-1")))
	w.run(2*time.Second, nil)
	for _, node := range w.names {
		c := w.cores[node]
		j, last := c.jobs["req-free-1"], c.jobs["req-blue-1"]
		if j.Rank() != 0 || isBestEffort(j) || !j.AboveNormal() || j.Effective().Priority != 0 || j.Priority != len(protocol.Priorities)-1 {
			t.Errorf("%s takes it for one of rank %d, its own is %d", node, j.Rank(), j.Priority)
		}
		if want := last.OwnLatestStart() - j.Runs(); j.LatestStart() != want || last.OwnLatestStart() == dependency.NoDeadline {
			t.Errorf("%s has it start by %d, want %d", node, j.LatestStart(), want)
		}
	}
	w.cancelJob("b", "req-blue-1")
	w.run(3*time.Second, nil)
	if j := w.cores["a"].jobs["req-free-1"]; j.Rank() != j.Priority || !isBestEffort(j) {
		t.Errorf("nothing needs it any more, and its rank is %d", j.Rank())
	}
}

// A cancellation takes with it all that needs the job, deep and wide, while the state service
// refuses the home and then is out for longer than a cancellation may take: whoever answers
// says cancelled within that time, and so it stays, also where every controller has started over.
func TestCancellationTakesWithItWhatNeedsTheJob(t *testing.T) {
	const wide = 60
	for name, meanwhile := range map[string]func(w *world){
		"all is well": func(*world) {},
		"the home is refused, then an outage": func(w *world) {
			w.refuseStore(w.leaderOf("blue"))
			w.run(time.Second, nil)
			w.outage = true
			w.run(w.allowed()*3/2, nil)
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
			told := w.now
			meanwhile(w)
			w.run(told+w.allowed()-w.now, nil)
			answered := 0
			for n, id := range ids {
				for try := range 3 {
					switch got := w.stance(w.names[(n+try)%5], id); got {
					case protocol.Cancelled:
						answered++
					case "":
						w.run(3*time.Second, nil)
					default:
						t.Fatalf("%s is %s, and one that it needs was cancelled %v ago", id, got, w.now-told)
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

// A job that names one cancelled long ago, of which no controller holds anything, is accepted
// and cancelled; one that is answered done lets what needs it go on.
func TestWhatEndedLongAgoIsReadFromTheStore(t *testing.T) {
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
		if c := w.cores[node]; len(c.finalStates) > 1 {
			t.Fatalf("%s remembers %v", node, c.finalStates)
		}
	}
	accepted(t, w.submit("c", "req-red-1", 1, awaiting("req-free-1")))
	accepted(t, w.submit("d", "req-red-2", 1, awaiting("req-free-2", "req-red-1")))
	accepted(t, w.submit("e", "req-red-3", 1, awaiting("req-free-2")))
	if !w.run(time.Minute, w.finished("req-red-3")) {
		t.Error("what needs a finished job does not go on")
	}
	for _, id := range []string{"req-red-1", "req-red-2", "req-blue-3"} {
		if got := w.stance("a", id); got != protocol.Cancelled {
			t.Errorf("%s is %q", id, got)
		}
	}
}

// A controller whose replica is behind, and that hears nobody, does not call a job queued of
// which another one may already have said that it is cancelled with what it awaits.
func TestAnswerOnAWaitingJobIsNoOlderThanItsQuestion(t *testing.T) {
	w := idleWorld(t, 10)
	w.taskTime = 5 * time.Minute
	accepted(t, w.submit("a", "req-free-1", 2, ""))
	accepted(t, w.submit("b", "req-blue-1", 2, awaiting("req-free-1")))
	accepted(t, w.submit("b", "req-blue-2", 2, awaiting("req-blue-1")))
	w.started("req-free-1", 2)
	behind := ""
	for _, node := range w.names {
		if node != w.leaderOf("free") && node != w.leaderOf("blue") {
			behind = node
		}
	}
	w.slowWatcher = behind
	home := w.leaderOf("blue")
	w.lateWrite = func(node string, e StoreTxn) time.Duration { // the cascade is not stored meanwhile
		if node == home && slices.ContainsFunc(e.Txn.Then, func(ch protocol.Change) bool { return strings.HasPrefix(ch.Delete, keyJob) }) {
			return time.Minute
		}
		return 0
	}
	w.refuse(func(f, to string) bool { return f == behind || to == behind })
	if a := w.cancelJob(w.leaderOf("free"), "req-free-1"); a.Status != http.StatusOK {
		t.Fatalf("cancellation got %d", a.Status)
	}
	c := w.cores[behind]
	if c.jobs["req-blue-2"] == nil || c.cancelled("req-free-1") {
		t.Fatal("the controller is not behind")
	}
	for range 5 {
		if got := w.stance(behind, "req-blue-2"); got != "" && got != protocol.Cancelled {
			t.Fatalf("it is %s, by a controller that has not heard of the cancellation", got)
		}
	}
	if _, stored := w.state("req-blue-2"); stored {
		t.Fatal("the store tells the cancellation by now")
	}
	w.slowWatcher, w.lateWrite = "", nil
	w.restore()
	w.run(5*time.Second, nil)
	if got := w.stance(behind, "req-blue-2"); got != protocol.Cancelled {
		t.Errorf("it is %q once its replica has caught up", got)
	}
}

// What a job awaits has ended before any controller had read the stored state: each of them
// reads what became of it before it answers.
func TestAnswerWaitsForWhatBecameOfTheAwaitedJob(t *testing.T) {
	w := idleWorld(t, 10)
	w.taskTime = time.Second
	for _, id := range []string{"req-free-1", "req-free-2"} {
		accepted(t, w.submit("a", id, 1, ""))
	}
	w.cancelJob("b", "req-free-1")
	if !w.run(time.Minute, func() bool { return w.finished("req-free-2")() && w.kv[jobKey("req-free-1")].Version == 0 }) {
		t.Fatal("jobs do not end")
	}
	w.stopAllFor(time.Second)
	w.recover()
	w.ready()
	for id, want := range map[string]string{"req-free-1": protocol.Cancelled, "req-free-2": protocol.Queued} {
		waits := "req-blue-after-" + id
		s, err := job.Parse([]byte(submission(waits, "blue", 1, awaiting(id)+`,"vcpus":4.0,"builds":["none"]`)), protocol.MaxBody)
		if err != nil {
			t.Fatal(err)
		}
		w.change(protocol.Change{Put: jobKey(waits), Value: job.New(*s, w.cores["a"].limits.defaultChunkSize(), 0).Head()})
		w.step("a")
		for _, node := range w.names {
			if got := w.stance(node, waits); got != "" && got != want {
				t.Errorf("%s says that %s is %s, want %s", node, waits, got, want)
			}
		}
		w.run(3*time.Second, nil)
		if got := w.stance("c", waits); got != want {
			t.Errorf("%s is %q, want %s", waits, got, want)
		}
	}
}

// The user of a job cancels it at the moment at which it is cancelled with what it awaits: it
// ends once, and nothing of either cancellation is left in the store.
func TestCascadeMeetsTheUsersOwnCancellation(t *testing.T) {
	w := idleWorld(t, 10)
	w.allowRacingStarts, w.taskTime = true, 5*time.Minute
	accepted(t, w.submit("a", "req-free-1", 1, ""))
	accepted(t, w.submit("a", "req-blue-1", 1, awaiting("req-free-1")))
	w.started("req-free-1", 1)
	home := w.leaderOf("blue")
	users := protocol.Txn{ // as any controller would store it
		If:   []protocol.Condition{{Key: keyState + "req-blue-1"}},
		Then: []protocol.Change{putJSON(keyState+"req-blue-1", finalStateRecord{State: protocol.Cancelled}), putJSON(cancelKey("req-blue-1"), cancelRecord{})},
	}
	met := false
	w.lateWrite = func(node string, e StoreTxn) time.Duration { // the home's write waits for the user's
		if node == home && !met && slices.ContainsFunc(e.Txn.Then, func(ch protocol.Change) bool { return ch.Delete == jobKey("req-blue-1") }) {
			met = w.decide(users).Outcome == Applied
			return 3 * time.Second
		}
		return 0
	}
	w.watchLag = 4 * time.Second // and the home hears of it by its own write
	w.refuse(everyLink)
	w.cancelJob(home, "req-free-1")
	if !w.run(10*time.Second, func() bool { return met }) {
		t.Fatal("the home does not store the cascade")
	}
	w.restore()
	w.watchLag, w.lateWrite = 0, nil
	w.run(w.allowed(), nil)
	for key := range w.kv {
		if strings.HasSuffix(key, "req-blue-1") && key != keyState+"req-blue-1" {
			t.Errorf("%s is left", key)
		}
	}
	if got := w.stance("c", "req-blue-1"); got != protocol.Cancelled {
		t.Errorf("it is %q", got)
	}
}

// A wide cascade does not hold up what starts: nobody waits for its stored ends.
func TestCascadeLetsStartsPass(t *testing.T) {
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
func TestJobThatAwaitsOneThatIsEndingIsCancelled(t *testing.T) {
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
		if got := w.stance(node, "req-blue-1"); got != protocol.Cancelled {
			t.Errorf("%s says that it is %q", node, got)
		}
	}
	if w.kv[jobKey("req-free-1")].Version == 0 {
		t.Fatal("the awaited job has ended by then")
	}
}

// The limits become lower while a transaction on a job in large chunks has no answer, and all
// is stored within the lower ones from then on; the job ends, and no key of it is left.
func TestLimitsBecomeLowerAmidAWrite(t *testing.T) {
	const tasks = 150
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprintf("written late %v", late), func(t *testing.T) {
			t.Parallel()
			w := newTunedWorld(t, five, func(s *settings.Settings) {
				s.Params.State.Next = settings.StateLimits{WriteRPS: 30, ValueKB: 1, TxnOps: 5}
			})
			w.notUpgraded["c"] = true
			for i := range 40 {
				w.addWorker(fmt.Sprintf("z%d", 1+i%2), false)
			}
			w.ready().run(10*time.Second, nil)
			w.taskTime = 20 * time.Second
			accepted(t, w.submit("a", "req-free-1", tasks, `,"vcpus":1.0`))
			w.started("req-free-1", 100)
			c := w.cores[w.leaderOf("free")]
			if c.jobs["req-free-1"].ChunkSize != c.limits.defaultChunkSize() {
				t.Fatal("split before all are upgraded")
			}
			w.lateWrite = func(_ string, e StoreTxn) time.Duration {
				if late && strings.HasPrefix(e.Txn.Then[0].Put, keyJob) {
					return 3 * time.Second
				}
				return 0
			}
			clear(w.notUpgraded)
			w.run(5*time.Second, nil)
			w.lowLimits, w.lateWrite = true, nil
			home := w.leaderOf("free")
			w.crash(home)
			w.expire(home)
			if !w.run(5*time.Minute, w.finished("req-free-1")) {
				t.Fatal("the job does not end")
			}
			w.run(5*time.Second, nil)
			for key := range w.kv {
				if strings.HasPrefix(key, jobKey("req-free-1")) {
					t.Errorf("%s is left", key)
				}
			}
		})
	}
}
