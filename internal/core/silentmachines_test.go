package core

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// silentMachinesJob is the job that runs when machines fall silent.
const silentMachinesJob = "req-free-1"

// lease is the time of a worker's lease.
func (w *world) lease() time.Duration { return seconds(w.cfg[w.names[0]].Params.Workers.LeaseS) }

// silence keeps every nth machine from reaching any controller, and names them.
func (w *world) silence(nth int) []string {
	w.t.Helper()
	var out []string
	for i, id := range slices.Sorted(maps.Keys(w.workers)) {
		if i%nth == 0 {
			w.silentWorkers[id] = true
			out = append(out, id)
		}
	}
	return out
}

// tasksOn counts the tasks on the machines that have not exited.
func (w *world) tasksOn(machines []string) (n int) {
	for _, id := range machines {
		if f := w.workers[id]; f != nil {
			for _, t := range f.Tasks {
				if t.State != protocol.Exited {
					n++
				}
			}
		}
	}
	return n
}

// sessions tells whether any of the machines has begun a later epoch.
func (w *world) sessions(machines []string) bool {
	return slices.ContainsFunc(machines, func(id string) bool { return w.workers[id] != nil && w.workers[id].Session > 1 })
}

// A machine whose reports reach no controller still answers direct calls. It must get no
// starts, since they would be lost when its lease ends.
func TestSilentMachineGetsNoNewWork(t *testing.T) {
	w := idleWorld(t, 10)
	w.noCloud, w.taskTime = true, 10*time.Minute
	accepted(t, w.submit("a", silentMachinesJob, 10, `,"vcpus":3.0`)) // one CPU is left everywhere
	w.started(silentMachinesJob, 10)
	silent := w.silence(3)
	w.run(reportIntervals(3), nil) // that a report is missing shows after more than two intervals
	meant := 0
	w.onEffect = func(_ string, e Effect) {
		switch e := e.(type) {
		case Deliver:
			if w.silentWorkers[e.Machine] && slices.ContainsFunc(e.Orders.Commands, func(c protocol.Command) bool { return c.Op == protocol.OpStart }) {
				meant++
			}
		case Log:
			if e.Text == "start refused" {
				meant++
			}
		}
	}
	w.taskTime = 5 * time.Second
	for n := range 6 {
		accepted(t, w.submit("a", fmt.Sprintf("req-free-2-%d", n), 10, `,"vcpus":1.0`))
		w.run(reportIntervals(1), nil)
		if n == 3 && w.sessions(silent) {
			t.Fatal("a lease ended before work came")
		}
	}
	if meant > 0 {
		t.Errorf("%d starts were meant for machines that reach nobody", meant)
	}
	w.run(w.lease(), nil)
	if !w.sessions(silent) {
		t.Fatal("no lease ended")
	}
	clear(w.silentWorkers)
	if !w.run(2*time.Minute, w.finished("req-free-2-0", "req-free-2-5")) {
		t.Error("jobs do not end")
	}
}

// A machine that reaches no controller for less than its lease loses no task: it is asked for
// its reports.
func TestSilentMachineKeepsItsTasksForItsLease(t *testing.T) {
	w, _ := loadedWorld(t, 20, silentMachinesJob)
	w.started(silentMachinesJob, 40)
	silent := w.silence(5)
	before := w.tasksOn(silent)
	w.run(w.lease()-reportIntervals(2), nil)
	clear(w.silentWorkers)
	w.run(reportIntervals(4), nil)
	if after := w.tasksOn(silent); before == 0 || after != before || w.sessions(silent) {
		t.Errorf("of %d tasks %d are left", before, after)
	}
	w.startedOnce()
}

// The ends of tasks on silent machines are learned by asking the machines, which are told to
// forget them.
func TestExitsOnSilentMachinesAreLearned(t *testing.T) {
	w := idleWorld(t, 20)
	w.taskTime = 9 * time.Second
	accepted(t, w.submit("a", silentMachinesJob, 40, ""))
	w.started(silentMachinesJob, 40)
	silent := w.silence(4)
	if w.tasksOn(silent) == 0 {
		t.Fatal("nothing runs on a silent machine")
	}
	if !w.run(w.lease()-reportIntervals(1), w.finished(silentMachinesJob)) || w.sessions(silent) {
		t.Error("the job is not known to be done within the lease")
	}
	w.startedOnce()
	w.run(reportIntervals(2), nil)
	for _, id := range silent {
		if f := w.workers[id]; f != nil && f.Session == 1 && len(f.Tasks) > 0 {
			t.Errorf("%s still reports %v", id, f.Tasks)
		}
	}
}

// Cancelled tasks on silent machines are stopped by direct calls, and no machine is returned
// for it.
func TestCancelledTasksOnSilentMachinesAreStoppedAtOnce(t *testing.T) {
	for name, wait := range map[string]time.Duration{"just silent": 0, "silent for a while": reportIntervals(3)} {
		w, _ := loadedWorld(t, 20, silentMachinesJob)
		silent := w.silence(4)
		w.run(wait, nil)
		if w.tasksOn(silent) == 0 {
			t.Fatal("nothing runs on a silent machine")
		}
		machines := len(w.workers)
		if a := w.cancelJob("b", silentMachinesJob); a.Status != http.StatusOK {
			t.Fatalf("cancellation got %d", a.Status)
		}
		if !w.run(reportIntervals(2), func() bool { return w.onMachines(silentMachinesJob) == 0 }) {
			t.Errorf("%s: %d tasks run on", name, w.onMachines(silentMachinesJob))
		}
		if len(w.workers) != machines {
			t.Errorf("%s: %d machines were returned", name, machines-len(w.workers))
		}
	}
}

// Whichever machines are silent, for however long, and whatever else happens meanwhile, no
// task runs twice, cancelled tasks are gone in time, and all work ends soon after.
func TestWorkOfSilentMachinesIsRecovered(t *testing.T) {
	which := map[string]int{"all": 1, "half": 2, "a fifth": 5}
	also := map[string]func(w *world, leader string){
		"nothing": func(*world, string) {},
		"their controllers end": func(w *world, _ string) {
			for _, n := range []string{"b", "d"} {
				w.crash(n)
				w.expire(n)
			}
		},
		"a new leader": func(w *world, leader string) { w.crash(leader); w.expire(leader) },
		"an outage": func(w *world, _ string) {
			w.outage = true
			w.after(w.lease()/2, w.endOutage)
		},
		"no links":     func(w *world, _ string) { w.refuse(everyLink) },
		"late reports": func(w *world, _ string) { w.replayReports = true },
		"all end at once": func(w *world, _ string) {
			for _, n := range w.names {
				w.crash(n)
				w.expire(n)
				w.boot(n)
			}
		},
	}
	for machines, nth := range which {
		for trouble, happen := range also {
			for _, leases := range []float64{0.6, 1.7} {
				t.Run(fmt.Sprintf("%s, %s, for %v leases", machines, trouble, leases), func(t *testing.T) {
					t.Parallel()
					w := idleWorld(t, 20)
					w.allowRacingStarts, w.unevenRunTimes, w.taskTime = true, true, 20*time.Second
					accepted(t, w.submit("a", "req-free-1", 30, ""))
					accepted(t, w.submit("a", "req-blue-2", 4, ""))
					accepted(t, w.submit("a", "req-free-3", 6, ""))
					w.run(time.Minute, func() bool { return w.onMachines("req-free-1") == 30 && w.onMachines("req-free-3") == 6 })
					leader := w.cores["a"].teamBy["free"].leader
					silent := w.silence(nth)
					if w.tasksOn(silent) == 0 {
						t.Fatal("nothing runs on a silent machine")
					}
					happen(w, leader)
					w.run(reportIntervals(2), nil)
					if !w.outage {
						w.cancelJob(w.serving(), "req-free-3")
					}
					w.run(time.Duration(leases*float64(w.lease())), nil)
					if left := w.tasksOn(silent); trouble == "nothing" && (left > 0) != (leases < 1) {
						t.Errorf("%d tasks are left on silent machines", left)
					}
					if leases < 1 && trouble == "nothing" {
						w.startedOnce()
					}
					w.recover()
					if !w.run(3*time.Minute, w.finished("req-free-1", "req-blue-2")) {
						t.Error("jobs do not end")
					}
				})
			}
		}
	}
}
