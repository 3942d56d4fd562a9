package core

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

func accepted(t tester, a Answer) {
	t.Helper()
	if a.Status != http.StatusCreated {
		t.Fatalf("submission got %d: %v", a.Status, a.Body)
	}
}

func stateOf(t *testing.T, a Answer) protocol.JobState {
	t.Helper()
	s, ok := a.Body.(protocol.JobState)
	if a.Status != http.StatusOK || !ok {
		t.Fatalf("state got %d: %v", a.Status, a.Body)
	}
	return s
}

func TestJobsOfAllTeamsRunOnceAndEndDone(t *testing.T) {
	w := newWorld(t).ready()
	ids := []string{"req-red-1", "req-blue-1", "req-free-1"}
	for i, id := range ids {
		accepted(t, w.submit(nodeNames[i], id, 12, ""))
	}
	if !w.run(4*time.Minute, w.finished(ids...)) {
		t.Fatal("jobs do not end")
	}
	for _, id := range ids {
		for _, n := range nodeNames {
			if s := stateOf(t, w.status(n, id)); s.State != protocol.Done || s.Done != 12 {
				t.Errorf("%s says %+v", n, s)
			}
		}
		for i := range 12 {
			if n := w.starts[fmt.Sprintf("%s/%d", id, i)]; n != 1 {
				t.Errorf("%s/%d was started %d times", id, i, n)
			}
		}
	}
}

func TestListHoldsEveryJobOncePageByPage(t *testing.T) {
	const jobs = 2*protocol.JobsPage + 1
	c := busyCore(10 * jobs)
	var got []string
	for after, more := "", true; more; {
		c.effects = nil
		c.handle(List{Req: 1, After: after})
		page := c.effects[0].(Answer).Body.(protocol.JobList)
		for _, j := range page.Jobs {
			if got = append(got, j.ID); j.Team == "" || j.Tasks != 10 {
				t.Fatalf("row %+v", j)
			}
		}
		after, more = got[len(got)-1], page.More
	}
	if slices.Sort(got); len(slices.Compact(got)) != jobs {
		t.Errorf("%d of %d jobs listed", len(got), jobs)
	}
}

func TestRepeatedSubmissionGetsTheCurrentStateForever(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 1, ""))
	if s := stateOf(t, w.submit("b", "req-blue-1", 1, "")); s.State == protocol.Done {
		t.Errorf("early repeat says %+v", s)
	}
	if !w.run(time.Minute, w.finished("req-blue-1")) {
		t.Fatal("job does not end")
	}
	for _, n := range nodeNames {
		w.crash(n)
		w.expire(n)
		w.boot(n)
	}
	w.ready()
	if s := stateOf(t, w.submit("c", "req-blue-1", 1, "")); s.State != protocol.Done {
		t.Errorf("late repeat says %+v", s)
	}
}

func TestUnknownJobIsNotFoundOnlyAfterACurrentRead(t *testing.T) {
	w := newWorld(t).ready()
	if a := w.status("a", "req-nobody"); a.Status != http.StatusNotFound {
		t.Errorf("got %d", a.Status)
	}
	w.outage = true
	if a := w.status("a", "req-nobody"); a.Status != http.StatusServiceUnavailable || a.RetryAfter == 0 {
		t.Errorf("during an outage got %d, retry after %d", a.Status, a.RetryAfter)
	}
}

func TestStartHeldByTheNetworkIsRefusedAfterTheTaskWentElsewhere(t *testing.T) {
	w := newWorld(t).ready()
	w.loseDo = true
	accepted(t, w.submit("a", "req-blue-1", 2, ""))
	if !w.run(time.Minute, func() bool {
		return slices.ContainsFunc(w.held, func(d Deliver) bool { return len(d.Orders.Commands) > 0 })
	}) {
		t.Fatal("nothing was delivered")
	}
	w.loseDo = false
	if !w.run(time.Minute, w.finished("req-blue-1")) {
		t.Fatal("job does not end after a lost start")
	}
	accepted(t, w.submit("b", "req-blue-2", 2, ""))
	w.run(3*time.Second, nil)
	before := len(w.starts)
	for _, d := range w.held {
		w.deliver("a", d)
	}
	w.run(time.Minute, w.finished("req-blue-2"))
	if len(w.starts) < before {
		t.Error("starts were lost")
	}
	w.startedOnce()
}

func TestTeamsOfACrashedHomeGoOnElsewhere(t *testing.T) {
	w := newWorld(t).ready()
	ids := []string{"req-red-1", "req-blue-1", "req-free-1"}
	for _, id := range ids {
		accepted(t, w.submit("c", id, 10, ""))
	}
	w.run(12*time.Second, nil)
	for _, n := range []string{"a", "b"} {
		w.crash(n)
		w.expire(n)
	}
	if !w.run(4*time.Minute, w.finished(ids...)) {
		t.Fatal("jobs do not end after two crashes")
	}
}

func TestAllControllersCrashInAnOutageAndNothingRunsTwice(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 12, ""))
	w.run(9*time.Second, nil)
	w.outage = true
	w.run(2*time.Second, nil)
	for _, n := range nodeNames {
		w.crash(n)
	}
	w.run(3*time.Second, nil)
	w.outage = false
	for _, n := range nodeNames {
		w.boot(n)
	}
	if !w.run(4*time.Minute, w.finished("req-blue-1")) {
		t.Fatal("job does not end")
	}
}

func TestHomeCutFromTheStoreIsDeposedAndItsStartsAreHarmless(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-red-1", 12, ""))
	w.run(8*time.Second, nil)
	for _, n := range nodeNames {
		w.cut[n] = true
		w.expire(n)
		w.run(10*time.Second, nil)
		w.cut[n] = false
		w.send(n, LeaseExpired{})
		w.nextReq++
		w.leases[w.nextReq] = n
		w.send(n, LeaseGranted{Lease: w.nextReq})
	}
	if !w.run(4*time.Minute, w.finished("req-red-1")) {
		t.Fatal("job does not end")
	}
}

// A home that alone could not reach the state service went on as home, and
// stopped all that the new home started, up to 85 times a task (inc-491b).
func TestDeposedHomeThatWasNotToldStopsNothingOfTheNewOne(t *testing.T) {
	for name, inFlight := range map[string]bool{"idle": false, "with a write on its way": true} {
		w := newWorld(t).ready()
		home := w.cores["a"].teamBy["free"].leader
		accepted(t, w.submit(home, "req-free-1", 6, ""))
		if !inFlight {
			w.run(time.Second, nil)
		}
		w.cut[home] = true
		w.expire(home)
		if !w.run(2*time.Minute, w.finished("req-free-1")) {
			t.Fatalf("%s: job does not end", name)
		}
		for task, n := range w.starts {
			if n > 2 {
				t.Errorf("%s: %s was started %d times", name, task, n)
			}
		}
	}
}

func TestTransactionsWithoutAnAnswerAreSettledByTheirNonce(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 4, ""))
	for range 30 {
		w.unknown = 1
		w.run(time.Second, nil)
	}
	w.unknown = 0
	if !w.run(2*time.Minute, w.finished("req-blue-1")) {
		t.Fatal("job does not end")
	}
	w.startedOnce()
}

func TestCancelledJobLeavesItsMachinesInTime(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 6, ""))
	w.started("req-blue-1", 3)
	// One machine hangs, so that a stop does not reach its tasks.
	for _, f := range w.workers {
		if len(f.Tasks) > 0 {
			f.dead = true
			break
		}
	}
	if s := stateOf(t, w.cancelJob("b", "req-blue-1")); s.State != protocol.Cancelled {
		t.Fatalf("answer is %+v", s)
	}
	w.run(30*time.Second, nil)
	if n := w.onMachines("req-blue-1"); n != 0 {
		t.Errorf("%d tasks are left", n)
	}
	for _, n := range nodeNames {
		if s := stateOf(t, w.status(n, "req-blue-1")); s.State != protocol.Cancelled {
			t.Errorf("%s says %+v", n, s)
		}
	}
}

func TestCancelledTaskOnAHungMachineIsGoneInTimeThoughTheStoreIsDown(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 2, ""))
	w.started("req-blue-1", 1)
	for _, f := range w.workers {
		f.dead = true
	}
	if s := stateOf(t, w.cancelJob("b", "req-blue-1")); s.State != protocol.Cancelled {
		t.Fatalf("answer is %+v", s)
	}
	w.run(time.Second, nil)
	w.outage = true
	w.run(29*time.Second, nil)
	if n := w.onMachines("req-blue-1"); n != 0 {
		t.Errorf("%d tasks are left", n)
	}
}

func TestTeamNamesMayHoldAnyCharacters(t *testing.T) {
	for _, team := range []string{"red", "night shift", "a/b", "čuvari%2F~", "x+y"} {
		part := teamPart(team)
		if got, err := teamOf(part); strings.ContainsAny(part, " %/") || got != team || err != nil {
			t.Errorf("%q became %q of %q, %v", team, got, part, err)
		}
	}
}

func TestCancellationBeatsBindingsThatAreOnTheirWay(t *testing.T) {
	w := newWorld(t).ready()
	for i := range 8 {
		id := fmt.Sprintf("req-free-%d", i)
		accepted(t, w.submit(nodeNames[i%3], id, 6, ""))
		w.run(time.Duration(i)*700*time.Millisecond, nil)
		if s := stateOf(t, w.cancelJob(nodeNames[(i+1)%3], id)); s.State != protocol.Cancelled && s.State != protocol.Done {
			t.Errorf("%s is %+v", id, s)
		}
	}
	w.run(25*time.Second, nil)
	for i := range 8 {
		if n := w.onMachines(fmt.Sprintf("req-free-%d", i)); n != 0 {
			t.Errorf("job %d has %d tasks left", i, n)
		}
	}
}

func TestSilentMachineIsGivenBackAndItsTasksRunElsewhere(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 6, ""))
	w.started("req-blue-1", 3)
	for _, f := range w.workers {
		f.dead = true
	}
	if !w.run(3*time.Minute, w.finished("req-blue-1")) {
		t.Fatal("job does not end")
	}
}

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

func TestJobsThatCanNeverRunAreRefused(t *testing.T) {
	w := newWorld(t)
	w.types = append(w.types, protocol.MachineType{Name: "local", CPUs: 4, MemoryGB: 16, Price: 3, SpotPrice: 2, Zones: []string{"z1"}},
		protocol.MachineType{Name: "nowhere", CPUs: 64, MemoryGB: 16, Price: 3, SpotPrice: 2})
	w.ready()
	for name, body := range map[string]string{
		"unknown team":                      submission("req-x-1", "nobody", 1, ""),
		"task fits nowhere":                 submission("req-x-2", "blue", 1, `,"vcpus":64.0`),
		"over the limit":                    submission("req-x-3", "red", 1, `,"vcpus":17.0`),
		"gang over limit":                   submission("req-x-4", "red", 9, `,"shape":"group"`),
		"unknown type":                      submission("req-x-5", "blue", 1, `,"builds":["none"]`),
		"no types":                          submission("req-x-6", "blue", 1, `,"builds":[]`),
		"unknown zone":                      submission("req-x-7", "blue", 1, `,"yard":"z9"`),
		"zone without type":                 submission("req-x-8", "blue", 1, `,"yard":"z2","builds":["local"]`),
		"type of no zone":                   submission("req-x-9", "blue", 1, `,"builds":["nowhere"]`),
		"gang in one zone, spread":          submission("req-x-10", "blue", 2, `,"shape":"group","samePlace":true,"spread":true`),
		"gang of a zone, spread":            submission("req-x-11", "blue", 2, `,"shape":"group","yard":"z1","spread":true`),
		"service of a zone, spread":         submission("req-x-12", "blue", 3, `,"shape":"service","yard":"z1","spread":true`),
		"gang on types of one zone, spread": submission("req-x-13", "blue", 2, `,"shape":"group","spread":true,"builds":["local"]`),
	} {
		a := w.ask("a", func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} })
		if a.Status != http.StatusUnprocessableEntity {
			t.Errorf("%s: got %d", name, a.Status)
		}
	}
}

// What has to wait for its own tasks, or for machines, is no reason to refuse a job: it is
// accepted and runs.
func TestJobsThatOnlyHaveToWaitRun(t *testing.T) {
	w := newWorld(t)
	w.types = append(w.types, protocol.MachineType{Name: "local", CPUs: 4, MemoryGB: 16, Price: 3, SpotPrice: 2, Zones: []string{"z1"}})
	w.ready()
	jobs := map[string]string{
		"req-blue-1": `,"samePlace":true,"spread":true`,
		"req-blue-2": `,"yard":"z2","spread":true`,
		"req-blue-3": `,"builds":["local"],"spread":true`,
		"req-blue-4": `,"shape":"group","spread":true`,
		"req-red-5":  `,"vcpus":4.0,"memoryGb":16.0`,
		"req-blue-6": `,"shape":"group","pieces":1,"samePlace":true,"spread":true`,
		"req-blue-7": `,"loaners":false,"samePlace":true`,
	}
	for id, more := range ordered(jobs) {
		accepted(t, w.submit("a", id, 5, more))
	}
	if !w.run(5*time.Minute, w.finished(slices.Sorted(maps.Keys(jobs))...)) {
		for id := range ordered(jobs) {
			s, _ := w.state(id)
			t.Errorf("%s is %q", id, s.State)
		}
	}
}

// A submission may be repeated at any time, and what is checked of one may have changed
// since: whatever it says, a job that was accepted is known, and is never 400 or 422.
func TestRepeatedSubmissionIsNeverRefused(t *testing.T) {
	for name, body := range map[string]string{
		"as it was":         submission("req-blue-1", "blue", 2, ""),
		"a field missing":   `{"uid":"req-blue-1","crew":"blue"}`,
		"out of range":      submission("req-blue-1", "blue", 2, `,"guessS":-1.0`),
		"of the wrong type": submission("req-blue-1", "blue", 2, `,"pieces":"two"`),
		"fits nowhere now":  submission("req-blue-1", "blue", 2, `,"vcpus":64.0`),
		"too long now":      submission("req-blue-1", "blue", 2, `,"bundle":"`+strings.Repeat("i", 4000)+`"`),
		"unknown team now":  submission("req-blue-1", "nobody", 2, ""),
	} {
		for _, state := range []string{protocol.Queued, protocol.Running, protocol.Done, protocol.Cancelled, "not answered"} {
			t.Run(name+", "+state, func(t *testing.T) {
				t.Parallel()
				w := newWorld(t).ready()
				if state == protocol.Running {
					w.taskTime = time.Hour
				}
				if state == "not answered" {
					w.unknown = 1
				}
				if a := w.submit("a", "req-blue-1", 2, ""); (a.Status == http.StatusCreated) == (state == "not answered") {
					t.Fatalf("got %d", a.Status)
				}
				switch state {
				case protocol.Running:
					w.started("req-blue-1", 2)
				case protocol.Done:
					w.run(time.Minute, w.finished("req-blue-1"))
				case protocol.Cancelled:
					w.cancelJob("b", "req-blue-1")
				}
				for _, node := range w.names {
					a := w.ask(node, func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} })
					s := stateOf(t, a)
					if a.Status != http.StatusOK || (state == protocol.Done || state == protocol.Cancelled) && s.State != state {
						t.Errorf("%s answers %d, %q", node, a.Status, s.State)
					}
				}
				// Nobody can tell while the state service is out: neither 400 nor 422.
				w.outage = true
				w.run(reports(2), nil)
				if a := w.ask("c", func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} }); a.Status != http.StatusOK && a.Status != http.StatusServiceUnavailable {
					t.Errorf("in an outage the answer is %d", a.Status)
				}
			})
		}
	}
}

// Of a job that nobody has, the same bodies are malformed, or can never run.
func TestMalformedSubmissionsAreAnsweredOnce(t *testing.T) {
	w := newWorld(t).ready()
	whole := submission("req-blue-1", "blue", 2, "")
	bodies := map[string]string{"half": whole[:len(whole)/2], "empty": "", "null": "null", "a list": "[" + whole + "]", "no id": `{"crew":"blue"}`,
		"id of a number": `{"uid":7}`, "odd id": submission("req-../1", "blue", 2, ""), "a type of no name": submission("req-blue-1", "blue", 2, `,"builds":[null]`),
		"a zone of no name": submission("req-blue-1", "blue", 2, `,"yard":""`), "too long": `{"uid":"` + strings.Repeat("x", protocol.MaxBody) + `"}`}
	var fields map[string]any
	if err := json.Unmarshal([]byte(whole), &fields); err != nil {
		t.Fatal(err)
	}
	for field := range fields {
		for how, value := range map[string]any{"missing": nil, "null": nil, "a list": []int{1}, "negative": -1.0, "an object": map[string]any{}} {
			other := maps.Clone(fields)
			other[field] = value
			if how == "missing" {
				delete(other, field)
			}
			if value == nil && slices.Contains([]string{"builds", "yard", "dueS"}, field) {
				continue // these may be null
			}
			raw, err := json.Marshal(other)
			if err != nil {
				t.Fatal(err)
			}
			bodies[field+" "+how] = string(raw)
		}
	}
	for name, body := range ordered(bodies) {
		a := w.ask("b", func(req uint64) Command { return Submit{Req: req, Body: []byte(body)} })
		if a.Status != http.StatusBadRequest {
			t.Errorf("%s: got %d", name, a.Status)
		}
	}
	if a := w.status("a", "req-blue-1"); a.Status != http.StatusNotFound {
		t.Errorf("after all that the job is answered %d", a.Status)
	}
}

func TestGangRunsAsOneAttempt(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 4, `,"shape":"group","samePlace":true`))
	if !w.run(time.Minute, func() bool { return w.onMachines("req-blue-1") == 4 }) {
		t.Fatal("gang does not start whole")
	}
	zones, attempts := map[string]bool{}, map[uint64]bool{}
	for _, f := range w.workers {
		for _, task := range f.Tasks {
			zones[f.Zone], attempts[task.Attempt] = true, true
		}
	}
	if len(zones) != 1 || len(attempts) != 1 {
		t.Errorf("gang is in %d zones with %d attempts", len(zones), len(attempts))
	}
	if !w.run(time.Minute, w.finished("req-blue-1")) {
		t.Fatal("gang does not end")
	}
}

func TestHugeArrayStaysWithinTheLimitsOfTheStore(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", job.MaxTasks, ""))
	w.run(20*time.Second, nil) // the world checks every transaction
	if n := w.onMachines("req-blue-1"); n == 0 {
		t.Error("nothing of it runs")
	}
}

func TestNodeAloneWithoutTheStoreIsUnhealthyButNotInACommonOutage(t *testing.T) {
	w := newWorld(t).ready()
	health := func() int {
		return w.ask("a", func(req uint64) Command { return Health{Req: req} }).Status
	}
	w.send("a", StoreHealth{OK: false})
	w.run(time.Second, nil)
	if got := health(); got != http.StatusServiceUnavailable {
		t.Errorf("alone: got %d", got)
	}
	w.send("b", StoreHealth{OK: false})
	w.run(2*time.Second, nil)
	if got := health(); got != http.StatusOK {
		t.Errorf("common outage: got %d", got)
	}
}

func TestReportsWithNonsenseAreHarmless(t *testing.T) {
	w := newWorld(t).ready()
	for i, task := range []string{"", "x", "req-1/", "req-1/-4", "req-1/99999999999", "req-unknown/0"} {
		r := protocol.Report{Machine: "vm-odd", Address: "x", Type: "odd", Session: 1, Seq: uint64(i + 1),
			Tasks: []protocol.TaskReport{{Task: task, Attempt: 1, State: "odd"}}}
		if a := w.ask("a", func(req uint64) Command { return Heartbeat{Req: req, Report: r} }); a.Status != http.StatusOK {
			t.Errorf("report of %q got %d", task, a.Status)
		}
	}
}

func TestNewRenterDoesNotGiveUpMachinesThatAreOnTheirWayToIt(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 12, ""))
	w.run(40*time.Second, w.finished("req-blue-1"))
	accepted(t, w.submit("b", "req-blue-2", 12, ""))
	w.run(4*time.Second, nil)
	before := w.onMachines("req-blue-2")
	for _, n := range nodeNames {
		w.crash(n)
		w.expire(n)
		w.boot(n)
	}
	w.now += 5 * time.Minute // the machines are old by the cloud's list
	for _, f := range w.workers {
		f.next, f.leased = w.now+5*time.Second, w.now
		for k := range f.running {
			f.running[k] = w.now + 10*time.Second
		}
	}
	w.run(4*time.Second, nil)
	if after := w.onMachines("req-blue-2"); before == 0 || after < before {
		t.Errorf("%d tasks were on machines before the crash, %d after", before, after)
	}
}

func TestHungMachineCostsOneTermNotOnePerProbe(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 2, ""))
	if !w.run(time.Minute, w.finished("req-blue-1")) {
		t.Fatal("job does not end")
	}
	highest := func() uint64 {
		most := uint64(0)
		for _, c := range w.cores {
			most = max(most, c.tokens.current)
		}
		return most
	}
	for _, f := range w.workers {
		f.dead = true
	}
	before := highest()
	accepted(t, w.submit("b", "req-blue-2", 2, ""))
	w.run(15*time.Second, nil)
	if taken := highest() - before; taken == 0 || taken > 4 {
		t.Errorf("%d terms were taken, want one or a few", taken)
	}
}

func TestWorkersSpreadAgainAfterACrash(t *testing.T) {
	w := newWorld(t).ready()
	for range 12 {
		w.addWorker("z1", false)
	}
	w.crash("b")
	w.expire("b")
	w.crash("c")
	w.expire("c")
	accepted(t, w.submit("a", "req-free-1", 900, ""))
	w.run(10*time.Second, nil)
	w.boot("b")
	w.boot("c")
	w.run(20*time.Second, nil)
	for _, n := range nodeNames {
		if got := len(w.cores[n].agents); got < 3 {
			t.Errorf("%s hears %d workers of %d", n, got, len(w.workers))
		}
	}
}

func TestStartsAreRefusedWhileAWorkerDoesNotAnswer(t *testing.T) {
	w := newWorld(t).ready()
	c := w.cores["a"]
	for range nodeNames {
		w.addWorker("z1", false)
	}
	w.run(8*time.Second, func() bool { return len(c.agents) > 0 })
	for id, k := range c.agents {
		s := Start{Machine: id, Task: "req-blue-1/0", Attempt: 1, Token: k.token, Epoch: k.epoch, Need: job.Resources{CPUs: 1}}
		if why := c.startRefusalReason(k, s); why != "" {
			t.Errorf("healthy: %s", why)
		}
		w.send("a", Delivered{Machine: id, Orders: protocol.Orders{Token: k.token}})
		w.step("a")
		if why := c.startRefusalReason(k, s); why == "" {
			t.Error("a worker without an answer takes starts")
		}
		return
	}
	w.workers = nil
	t.Fatal("no worker reports to a")
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
		if got := c.mayStop(k.starved, k.victim); got != k.want {
			t.Errorf("%s: got %v", name, got)
		}
	}
}

func TestBrokenGangIsStoppedAndStartsAgainWhole(t *testing.T) {
	w := newWorld(t).ready()
	accepted(t, w.submit("a", "req-blue-1", 4, `,"shape":"group"`))
	if !w.run(time.Minute, func() bool { return w.onMachines("req-blue-1") == 4 }) {
		t.Fatal("gang does not start whole")
	}
	for _, f := range w.workers {
		if len(f.Tasks) > 0 {
			f.dead = true
			break
		}
	}
	for _, f := range w.workers {
		for k := range f.running {
			f.running[k] = w.now + 40*time.Second
		}
	}
	if !w.run(3*time.Minute, w.finished("req-blue-1")) {
		t.Fatal("gang does not end")
	}
}
