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

// nonReportingMachinesJob is the job that is running when machines stop reporting.
const nonReportingMachinesJob = "req-free-1"

// workerLease is the duration of a worker's lease.
func (cluster *simCluster) workerLease() time.Duration {
	return seconds(cluster.cfg[cluster.names[0]].Params.Workers.LeaseS)
}

// stopReportsOfEvery keeps the reports of every nth machine from reaching any controller, and
// returns these machines.
func (cluster *simCluster) stopReportsOfEvery(nth int) []string {
	cluster.t.Helper()
	var out []string
	for i, id := range slices.Sorted(maps.Keys(cluster.workers)) {
		if i%nth == 0 {
			cluster.nonReportingWorkers[id] = true
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

// TestNonReportingMachineGetsNoNewTasks checks that a machine whose reports reach no controller,
// but which answers deliveries, gets no start commands: the tasks would be lost when its lease
// expires.
func TestNonReportingMachineGetsNoNewTasks(t *testing.T) {
	cluster := newIdleSimCluster(t, 10)
	cluster.cloudDegraded, cluster.taskTime = true, 10*time.Minute
	requireAccepted(t, cluster.submit("a", nonReportingMachinesJob, 10, `,"vcpus":3.0`)) // leaves one CPU free on each machine
	cluster.waitUntilStarted(nonReportingMachinesJob, 10)
	nonReporting := cluster.stopReportsOfEvery(3)
	cluster.run(reportIntervals(3), nil) // a missing report is detected after more than two intervals
	misdirected := 0
	cluster.onEffect = func(_ string, e Effect) {
		switch e := e.(type) {
		case Deliver:
			if cluster.nonReportingWorkers[e.Machine] && slices.ContainsFunc(e.CommandBatch.Commands, func(c protocol.Command) bool { return c.Op == protocol.OpStart }) {
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
		if n == 3 && cluster.anyNewWorkerEpoch(nonReporting) {
			t.Fatal("a lease expired before the new jobs were submitted")
		}
	}
	if misdirected > 0 {
		t.Errorf("got %d starts for non-reporting machines, want 0", misdirected)
	}
	cluster.run(cluster.workerLease(), nil)
	if !cluster.anyNewWorkerEpoch(nonReporting) {
		t.Fatal("no lease expired")
	}
	clear(cluster.nonReportingWorkers)
	if !cluster.run(2*time.Minute, cluster.allDone("req-free-2-0", "req-free-2-5")) {
		t.Error("jobs did not end")
	}
}

// TestMachineKnownByRepliesAloneGetsNoNewTasks guards against starts on a machine whose reports reach no
// controller, by a controller that has started since and knows the machine from replies to deliveries.
func TestMachineKnownByRepliesAloneGetsNoNewTasks(t *testing.T) {
	for name, observations := range map[string][]bool{ // whether each observation is of a reply
		"replies alone":          {true, true},
		"report":                 {false},
		"report, then a reply":   {false, true},
		"reply, then its report": {true, false},
	} {
		c := newStartedCore()
		c.now.Steady = time.Second
		for i, direct := range observations {
			c.applyObservation(Observation{Node: "b", Token: 1, Direct: direct, Report: protocol.Report{Machine: "vm-1",
				Type: "small", Zone: "z1", WorkerEpoch: 1, Seq: uint64(i + 1)}})
		}
		wantOverdue := !slices.Contains(observations, false)
		if got := c.reportOverdue(c.machines.Get("vm-1")); got != wantOverdue {
			t.Errorf("%s: got overdue %v", name, got)
		}
	}
}

// TestNonReportingMachineKeepsTasksUntilLeaseExpires checks that a machine that cannot reach any
// controller for less than its lease loses no tasks: the controllers poll it for reports.
func TestNonReportingMachineKeepsTasksUntilLeaseExpires(t *testing.T) {
	cluster, _ := newLoadedSimCluster(t, 20, nonReportingMachinesJob)
	cluster.waitUntilStarted(nonReportingMachinesJob, 40)
	nonReporting := cluster.stopReportsOfEvery(5)
	before := cluster.tasksOn(nonReporting)
	cluster.run(cluster.workerLease()-reportIntervals(2), nil)
	clear(cluster.nonReportingWorkers)
	cluster.run(reportIntervals(4), nil)
	if after := cluster.tasksOn(nonReporting); before == 0 || after != before || cluster.anyNewWorkerEpoch(nonReporting) {
		t.Errorf("had %d tasks, got %d left", before, after)
	}
	cluster.checkStartedOnce()
}

// TestExitsOnNonReportingMachinesAreDetected checks that controllers learn of task exits on
// non-reporting machines by polling them, and send them forget commands for the exited tasks.
func TestExitsOnNonReportingMachinesAreDetected(t *testing.T) {
	cluster := newIdleSimCluster(t, 20)
	cluster.taskTime = 9 * time.Second
	requireAccepted(t, cluster.submit("a", nonReportingMachinesJob, 40, ""))
	cluster.waitUntilStarted(nonReportingMachinesJob, 40)
	nonReporting := cluster.stopReportsOfEvery(4)
	if cluster.tasksOn(nonReporting) == 0 {
		t.Fatal("no task is running on a non-reporting machine")
	}
	if !cluster.run(cluster.workerLease()-reportIntervals(1), cluster.allDone(nonReportingMachinesJob)) || cluster.anyNewWorkerEpoch(nonReporting) {
		t.Error("job did not end within the lease, or a lease expired")
	}
	cluster.checkStartedOnce()
	cluster.run(reportIntervals(2), nil)
	for _, id := range nonReporting {
		if f := cluster.workers[id]; f != nil && f.WorkerEpoch == 1 && len(f.Tasks) > 0 {
			t.Errorf("%s still reports %v", id, f.Tasks)
		}
	}
}

// TestCancelledTasksOnNonReportingMachinesAreStoppedImmediately checks that cancelled tasks on
// non-reporting machines are stopped by deliveries, without returning any machine.
func TestCancelledTasksOnNonReportingMachinesAreStoppedImmediately(t *testing.T) {
	for name, wait := range map[string]time.Duration{"just stopped reporting": 0, "not reporting for a while": reportIntervals(3)} {
		cluster, _ := newLoadedSimCluster(t, 20, nonReportingMachinesJob)
		nonReporting := cluster.stopReportsOfEvery(4)
		cluster.run(wait, nil)
		if cluster.tasksOn(nonReporting) == 0 {
			t.Fatal("no task is running on a non-reporting machine")
		}
		machines := len(cluster.workers)
		if a := cluster.cancelJob("b", nonReportingMachinesJob); a.Status != http.StatusOK {
			t.Fatalf("cancellation got status %d, want 200", a.Status)
		}
		if !cluster.run(reportIntervals(2), func() bool { return cluster.onMachines(nonReportingMachinesJob) == 0 }) {
			t.Errorf("%s: %d tasks are still running", name, cluster.onMachines(nonReportingMachinesJob))
		}
		if len(cluster.workers) != machines {
			t.Errorf("%s: %d machines were returned, want 0", name, machines-len(cluster.workers))
		}
	}
}

// TestTasksOfNonReportingMachinesAreRecovered checks that no task runs on two machines at the same
// time, cancelled tasks stop in time, and all other jobs end soon afterwards, regardless of how
// many machines stop reporting, for how long, and of other faults meanwhile.
func TestTasksOfNonReportingMachinesAreRecovered(t *testing.T) {
	nonReportingEveryNth := map[string]int{"all": 1, "half": 2, "a fifth": 5}
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
		"all controllers restart together": func(cluster *simCluster, _ string) {
			for _, n := range cluster.names {
				cluster.crash(n)
				cluster.expire(n)
				cluster.boot(n)
			}
		},
	}
	for machines, nth := range nonReportingEveryNth {
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
					nonReporting := cluster.stopReportsOfEvery(nth)
					if cluster.tasksOn(nonReporting) == 0 {
						t.Fatal("no task is running on a non-reporting machine")
					}
					inject(cluster, leader)
					cluster.run(reportIntervals(2), nil)
					if !cluster.outage {
						cluster.cancelJob(cluster.servingController(), "req-free-3")
					}
					cluster.run(time.Duration(leases*float64(cluster.workerLease())), nil)
					if left := cluster.tasksOn(nonReporting); fault == "nothing" && (left > 0) != (leases < 1) {
						t.Errorf("%d tasks are left on non-reporting machines, want some only if they report again before the lease expires", left)
					}
					if leases < 1 && fault == "nothing" {
						cluster.checkStartedOnce()
					}
					cluster.recover()
					if !cluster.run(3*time.Minute, cluster.allDone("req-free-1", "req-blue-2")) {
						t.Error("jobs did not end")
					}
				})
			}
		}
	}
}
