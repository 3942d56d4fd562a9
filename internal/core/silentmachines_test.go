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

// workerLease is the duration of a worker's lease.
func (cluster *simCluster) workerLease() time.Duration {
	return seconds(cluster.cfg[cluster.names[0]].Params.Workers.LeaseS)
}

// silenceEvery cuts every nth machine's reports off from all controllers, and returns these
// machines.
func (cluster *simCluster) silenceEvery(nth int) []string {
	cluster.t.Helper()
	var out []string
	for i, id := range slices.Sorted(maps.Keys(cluster.workers)) {
		if i%nth == 0 {
			cluster.silentWorkers[id] = true
			out = append(out, id)
		}
	}
	return out
}

// tasksOn counts the tasks on machines that have not exited.
func (cluster *simCluster) tasksOn(machines []string) (n int) {
	for _, id := range machines {
		if f := cluster.workers[id]; f != nil {
			for _, t := range f.Tasks {
				if t.State != protocol.Exited {
					n++
				}
			}
		}
	}
	return n
}

// anyNewWorkerEpoch reports whether any of the machines has begun a second epoch, as a worker does
// when its lease has expired.
func (cluster *simCluster) anyNewWorkerEpoch(machines []string) bool {
	return slices.ContainsFunc(machines, func(id string) bool { return cluster.workers[id] != nil && cluster.workers[id].WorkerEpoch > 1 })
}

// TestSilentMachineGetsNoNewTasks checks that a machine whose reports reach no controller, but
// which answers direct calls, gets no starts: they would be lost when its lease expires.
func TestSilentMachineGetsNoNewTasks(t *testing.T) {
	cluster := newIdleSimCluster(t, 10)
	cluster.cloudDegraded, cluster.taskTime = true, 10*time.Minute
	requireAccepted(t, cluster.submit("a", silentMachinesJob, 10, `,"vcpus":3.0`)) // leaves one CPU free on each machine
	cluster.waitUntilStarted(silentMachinesJob, 10)
	silent := cluster.silenceEvery(3)
	cluster.run(reportIntervals(3), nil) // a missing report is detected after more than two intervals
	misdirected := 0
	cluster.onEffect = func(_ string, e Effect) {
		switch e := e.(type) {
		case Deliver:
			if cluster.silentWorkers[e.Machine] && slices.ContainsFunc(e.CommandBatch.Commands, func(c protocol.Command) bool { return c.Op == protocol.OpStart }) {
				misdirected++
			}
		case Log:
			if e.Text == "start refused" {
				misdirected++
			}
		}
	}
	cluster.taskTime = 5 * time.Second
	for n := range 6 {
		requireAccepted(t, cluster.submit("a", fmt.Sprintf("req-free-2-%d", n), 10, `,"vcpus":1.0`))
		cluster.run(reportIntervals(1), nil)
		if n == 3 && cluster.anyNewWorkerEpoch(silent) {
			t.Fatal("a lease expired before the new jobs were submitted")
		}
	}
	if misdirected > 0 {
		t.Errorf("got %d starts for silent machines, want 0", misdirected)
	}
	cluster.run(cluster.workerLease(), nil)
	if !cluster.anyNewWorkerEpoch(silent) {
		t.Fatal("no lease expired")
	}
	clear(cluster.silentWorkers)
	if !cluster.run(2*time.Minute, cluster.allDone("req-free-2-0", "req-free-2-5")) {
		t.Error("jobs did not finish")
	}
}

// TestSilentMachineKeepsTasksUntilLeaseExpires checks that a machine that cannot reach any
// controller for less than its lease loses no tasks: the controllers poll it for reports.
func TestSilentMachineKeepsTasksUntilLeaseExpires(t *testing.T) {
	cluster, _ := newLoadedSimCluster(t, 20, silentMachinesJob)
	cluster.waitUntilStarted(silentMachinesJob, 40)
	silent := cluster.silenceEvery(5)
	before := cluster.tasksOn(silent)
	cluster.run(cluster.workerLease()-reportIntervals(2), nil)
	clear(cluster.silentWorkers)
	cluster.run(reportIntervals(4), nil)
	if after := cluster.tasksOn(silent); before == 0 || after != before || cluster.anyNewWorkerEpoch(silent) {
		t.Errorf("had %d tasks, got %d left", before, after)
	}
	cluster.checkStartedOnce()
}

// TestExitsOnSilentMachinesAreDetected checks that controllers learn of task exits on silent
// machines by polling them, and tell them to forget the exited tasks.
func TestExitsOnSilentMachinesAreDetected(t *testing.T) {
	cluster := newIdleSimCluster(t, 20)
	cluster.taskTime = 9 * time.Second
	requireAccepted(t, cluster.submit("a", silentMachinesJob, 40, ""))
	cluster.waitUntilStarted(silentMachinesJob, 40)
	silent := cluster.silenceEvery(4)
	if cluster.tasksOn(silent) == 0 {
		t.Fatal("no task is running on a silent machine")
	}
	if !cluster.run(cluster.workerLease()-reportIntervals(1), cluster.allDone(silentMachinesJob)) || cluster.anyNewWorkerEpoch(silent) {
		t.Error("job did not finish within the lease, or a lease expired")
	}
	cluster.checkStartedOnce()
	cluster.run(reportIntervals(2), nil)
	for _, id := range silent {
		if f := cluster.workers[id]; f != nil && f.WorkerEpoch == 1 && len(f.Tasks) > 0 {
			t.Errorf("%s still reports %v", id, f.Tasks)
		}
	}
}

// TestCancelledTasksOnSilentMachinesAreStoppedImmediately checks that cancelled tasks on silent
// machines are stopped by direct calls, without returning any machine.
func TestCancelledTasksOnSilentMachinesAreStoppedImmediately(t *testing.T) {
	for name, wait := range map[string]time.Duration{"just silent": 0, "silent for a while": reportIntervals(3)} {
		cluster, _ := newLoadedSimCluster(t, 20, silentMachinesJob)
		silent := cluster.silenceEvery(4)
		cluster.run(wait, nil)
		if cluster.tasksOn(silent) == 0 {
			t.Fatal("no task is running on a silent machine")
		}
		machines := len(cluster.workers)
		if a := cluster.cancelJob("b", silentMachinesJob); a.Status != http.StatusOK {
			t.Fatalf("cancellation got status %d, want 200", a.Status)
		}
		if !cluster.run(reportIntervals(2), func() bool { return cluster.onMachines(silentMachinesJob) == 0 }) {
			t.Errorf("%s: %d tasks are still running", name, cluster.onMachines(silentMachinesJob))
		}
		if len(cluster.workers) != machines {
			t.Errorf("%s: %d machines were returned, want 0", name, machines-len(cluster.workers))
		}
	}
}

// TestTasksOfSilentMachinesAreRecovered checks that, whichever machines fall silent, for however
// long and in combination with other faults, no task runs twice, cancelled tasks stop in time,
// and all jobs finish soon afterwards.
func TestTasksOfSilentMachinesAreRecovered(t *testing.T) {
	silentEveryNth := map[string]int{"all": 1, "half": 2, "a fifth": 5}
	faults := map[string]func(cluster *simCluster, leader string){
		"nothing": func(*simCluster, string) {},
		"two controllers crash": func(cluster *simCluster, _ string) {
			for _, n := range []string{"b", "d"} {
				cluster.crash(n)
				cluster.expire(n)
			}
		},
		"the leader crashes": func(cluster *simCluster, leader string) { cluster.crash(leader); cluster.expire(leader) },
		"an outage": func(cluster *simCluster, _ string) {
			cluster.outage = true
			cluster.after(cluster.workerLease()/2, cluster.endOutage)
		},
		"no links between controllers": func(cluster *simCluster, _ string) { cluster.disconnectLinks(everyLink) },
		"late reports":                 func(cluster *simCluster, _ string) { cluster.replayReports = true },
		"all controllers restart at once": func(cluster *simCluster, _ string) {
			for _, n := range cluster.names {
				cluster.crash(n)
				cluster.expire(n)
				cluster.boot(n)
			}
		},
	}
	for machines, nth := range silentEveryNth {
		for fault, inject := range faults {
			for _, leases := range []float64{0.6, 1.7} {
				t.Run(fmt.Sprintf("%s, %s, for %v leases", machines, fault, leases), func(t *testing.T) {
					t.Parallel()
					cluster := newIdleSimCluster(t, 20)
					cluster.allowRacingStarts, cluster.unevenRunTimes, cluster.taskTime = true, true, 20*time.Second
					requireAccepted(t, cluster.submit("a", "req-free-1", 30, ""))
					requireAccepted(t, cluster.submit("a", "req-blue-2", 4, ""))
					requireAccepted(t, cluster.submit("a", "req-free-3", 6, ""))
					cluster.run(time.Minute, func() bool { return cluster.onMachines("req-free-1") == 30 && cluster.onMachines("req-free-3") == 6 })
					leader := cluster.cores["a"].teamsByName["free"].leader
					silent := cluster.silenceEvery(nth)
					if cluster.tasksOn(silent) == 0 {
						t.Fatal("no task is running on a silent machine")
					}
					inject(cluster, leader)
					cluster.run(reportIntervals(2), nil)
					if !cluster.outage {
						cluster.cancelJob(cluster.serving(), "req-free-3")
					}
					cluster.run(time.Duration(leases*float64(cluster.workerLease())), nil)
					if left := cluster.tasksOn(silent); fault == "nothing" && (left > 0) != (leases < 1) {
						t.Errorf("%d tasks are left on silent machines, want some only if silence is shorter than the lease", left)
					}
					if leases < 1 && fault == "nothing" {
						cluster.checkStartedOnce()
					}
					cluster.recover()
					if !cluster.run(3*time.Minute, cluster.allDone("req-free-1", "req-blue-2")) {
						t.Error("jobs did not finish")
					}
				})
			}
		}
	}
}
