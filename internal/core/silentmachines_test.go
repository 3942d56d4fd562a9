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

// silentMachinesJob is the job that is running when machines fall silent.
const silentMachinesJob = "req-free-1"

// lease is the duration of a worker's lease.
func (w *world) lease() time.Duration { return seconds(w.cfg[w.names[0]].Params.Workers.LeaseS) }

// silenceEvery cuts every nth machine's reports off from all controllers, and returns these
// machines.
func (w *world) silenceEvery(nth int) []string {
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

// tasksOn counts the tasks on machines that have not exited.
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

// sessions reports whether any of the machines has begun a second session, as a worker does when
// its lease has expired.
func (w *world) sessions(machines []string) bool {
	return slices.ContainsFunc(machines, func(id string) bool { return w.workers[id] != nil && w.workers[id].Session > 1 })
}

// TestSilentMachineGetsNoNewTasks checks that a machine whose reports reach no controller, but
// which answers direct calls, gets no starts: they would be lost when its lease expires.
func TestSilentMachineGetsNoNewTasks(t *testing.T) {
	w := idleWorld(t, 10)
	w.noCloud, w.taskTime = true, 10*time.Minute
	accepted(t, w.submit("a", silentMachinesJob, 10, `,"vcpus":3.0`)) // leaves one CPU free on each machine
	w.started(silentMachinesJob, 10)
	silent := w.silenceEvery(3)
	w.run(reportIntervals(3), nil) // a missing report is detected after more than two intervals
	misdirected := 0
	w.onEffect = func(_ string, e Effect) {
		switch e := e.(type) {
		case Deliver:
			if w.silentWorkers[e.Machine] && slices.ContainsFunc(e.Orders.Commands, func(c protocol.Command) bool { return c.Op == protocol.OpStart }) {
				misdirected++
			}
		case Log:
			if e.Text == "start refused" {
				misdirected++
			}
		}
	}
	w.taskTime = 5 * time.Second
	for n := range 6 {
		accepted(t, w.submit("a", fmt.Sprintf("req-free-2-%d", n), 10, `,"vcpus":1.0`))
		w.run(reportIntervals(1), nil)
		if n == 3 && w.sessions(silent) {
			t.Fatal("a lease expired before the new jobs were submitted")
		}
	}
	if misdirected > 0 {
		t.Errorf("got %d starts for silent machines, want 0", misdirected)
	}
	w.run(w.lease(), nil)
	if !w.sessions(silent) {
		t.Fatal("no lease expired")
	}
	clear(w.silentWorkers)
	if !w.run(2*time.Minute, w.finished("req-free-2-0", "req-free-2-5")) {
		t.Error("jobs did not finish")
	}
}

// TestSilentMachineKeepsTasksUntilLeaseExpires checks that a machine that cannot reach any
// controller for less than its lease loses no tasks: the controllers poll it for reports.
func TestSilentMachineKeepsTasksUntilLeaseExpires(t *testing.T) {
	w, _ := loadedWorld(t, 20, silentMachinesJob)
	w.started(silentMachinesJob, 40)
	silent := w.silenceEvery(5)
	before := w.tasksOn(silent)
	w.run(w.lease()-reportIntervals(2), nil)
	clear(w.silentWorkers)
	w.run(reportIntervals(4), nil)
	if after := w.tasksOn(silent); before == 0 || after != before || w.sessions(silent) {
		t.Errorf("had %d tasks, got %d left", before, after)
	}
	w.startedOnce()
}

// TestExitsOnSilentMachinesAreDetected checks that controllers learn of task exits on silent
// machines by polling them, and tell them to forget the exited tasks.
func TestExitsOnSilentMachinesAreDetected(t *testing.T) {
	w := idleWorld(t, 20)
	w.taskTime = 9 * time.Second
	accepted(t, w.submit("a", silentMachinesJob, 40, ""))
	w.started(silentMachinesJob, 40)
	silent := w.silenceEvery(4)
	if w.tasksOn(silent) == 0 {
		t.Fatal("no task is running on a silent machine")
	}
	if !w.run(w.lease()-reportIntervals(1), w.finished(silentMachinesJob)) || w.sessions(silent) {
		t.Error("job did not finish within the lease, or a lease expired")
	}
	w.startedOnce()
	w.run(reportIntervals(2), nil)
	for _, id := range silent {
		if f := w.workers[id]; f != nil && f.Session == 1 && len(f.Tasks) > 0 {
			t.Errorf("%s still reports %v", id, f.Tasks)
		}
	}
}

// TestCancelledTasksOnSilentMachinesAreStoppedImmediately checks that cancelled tasks on silent
// machines are stopped by direct calls, without returning any machine.
func TestCancelledTasksOnSilentMachinesAreStoppedImmediately(t *testing.T) {
	for name, wait := range map[string]time.Duration{"just silent": 0, "silent for a while": reportIntervals(3)} {
		w, _ := loadedWorld(t, 20, silentMachinesJob)
		silent := w.silenceEvery(4)
		w.run(wait, nil)
		if w.tasksOn(silent) == 0 {
			t.Fatal("no task is running on a silent machine")
		}
		machines := len(w.workers)
		if a := w.cancelJob("b", silentMachinesJob); a.Status != http.StatusOK {
			t.Fatalf("cancellation got status %d, want 200", a.Status)
		}
		if !w.run(reportIntervals(2), func() bool { return w.onMachines(silentMachinesJob) == 0 }) {
			t.Errorf("%s: %d tasks are still running", name, w.onMachines(silentMachinesJob))
		}
		if len(w.workers) != machines {
			t.Errorf("%s: %d machines were returned, want 0", name, machines-len(w.workers))
		}
	}
}

// TestTasksOfSilentMachinesAreRecovered checks that, whichever machines fall silent, for however
// long and in combination with other faults, no task runs twice, cancelled tasks stop in time,
// and all jobs finish soon afterwards.
func TestTasksOfSilentMachinesAreRecovered(t *testing.T) {
	silentEveryNth := map[string]int{"all": 1, "half": 2, "a fifth": 5}
	faults := map[string]func(w *world, leader string){
		"nothing": func(*world, string) {},
		"two controllers crash": func(w *world, _ string) {
			for _, n := range []string{"b", "d"} {
				w.crash(n)
				w.expire(n)
			}
		},
		"the leader crashes": func(w *world, leader string) { w.crash(leader); w.expire(leader) },
		"an outage": func(w *world, _ string) {
			w.outage = true
			w.after(w.lease()/2, w.endOutage)
		},
		"no links between controllers": func(w *world, _ string) { w.refuse(everyLink) },
		"late reports":                 func(w *world, _ string) { w.replayReports = true },
		"all controllers restart at once": func(w *world, _ string) {
			for _, n := range w.names {
				w.crash(n)
				w.expire(n)
				w.boot(n)
			}
		},
	}
	for machines, nth := range silentEveryNth {
		for fault, inject := range faults {
			for _, leases := range []float64{0.6, 1.7} {
				t.Run(fmt.Sprintf("%s, %s, for %v leases", machines, fault, leases), func(t *testing.T) {
					t.Parallel()
					w := idleWorld(t, 20)
					w.allowRacingStarts, w.unevenRunTimes, w.taskTime = true, true, 20*time.Second
					accepted(t, w.submit("a", "req-free-1", 30, ""))
					accepted(t, w.submit("a", "req-blue-2", 4, ""))
					accepted(t, w.submit("a", "req-free-3", 6, ""))
					w.run(time.Minute, func() bool { return w.onMachines("req-free-1") == 30 && w.onMachines("req-free-3") == 6 })
					leader := w.cores["a"].teamBy["free"].leader
					silent := w.silenceEvery(nth)
					if w.tasksOn(silent) == 0 {
						t.Fatal("no task is running on a silent machine")
					}
					inject(w, leader)
					w.run(reportIntervals(2), nil)
					if !w.outage {
						w.cancelJob(w.serving(), "req-free-3")
					}
					w.run(time.Duration(leases*float64(w.lease())), nil)
					if left := w.tasksOn(silent); fault == "nothing" && (left > 0) != (leases < 1) {
						t.Errorf("%d tasks are left on silent machines, want some only if silence is shorter than the lease", left)
					}
					if leases < 1 && fault == "nothing" {
						w.startedOnce()
					}
					w.recover()
					if !w.run(3*time.Minute, w.finished("req-free-1", "req-blue-2")) {
						t.Error("jobs did not finish")
					}
				})
			}
		}
	}
}
