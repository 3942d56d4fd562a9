package core

import (
	"testing"
	"time"
)

// This test guards against a job that never ended: its tasks were lost when their worker's lease
// expired, and the only controller that had learned of the worker's new epoch dropped the worker's
// agent session while it was partitioned from all others. The worker's next report contained
// nothing new for that controller and was not shared with its peers, so the leader still considered
// the tasks running.
func TestFirstReportOfASessionIsSharedEvenIfUnchanged(t *testing.T) {
	cluster := newIdleSimCluster(t, 10)
	cluster.cloudDegraded, cluster.allowRacingStarts, cluster.taskTime = true, true, 10*time.Minute
	requireAccepted(t, cluster.submit("a", "req-free-1", 20, ""))
	cluster.waitUntilStarted("req-free-1", 20)
	leader := cluster.leaderOf("free")
	node, machine := cluster.machineServedBy(func(node string) bool { return node != leader && node != cluster.cores["a"].fleet.leader })
	leaderView := func() uint64 { return cluster.cores[leader].machines.Get(machine).WorkerEpoch }

	cluster.nonReportingWorkers[machine] = true
	cluster.disconnectLinks(func(from, to string) bool { return from == node || to == node })
	cluster.withoutStore[node] = true // its controller lease stays live
	if !cluster.run(cluster.workerLease()+reportIntervals(4), func() bool { return cluster.cores[node].agents.session(machine) == nil }) {
		t.Fatal("agent session of a worker that stopped reporting was not dropped")
	}
	if held := cluster.cores[node].machines.Get(machine).WorkerEpoch; held != 2 || leaderView() != 1 {
		t.Fatalf("worker's controller knows epoch %d and the leader epoch %d, want 2 and 1", held, leaderView())
	}
	cluster.restoreLinks()
	delete(cluster.withoutStore, node)
	cluster.run(time.Second, nil)
	cluster.reportTo(machine, node)
	if !cluster.run(reportIntervals(3), func() bool { return cluster.cores[node].agents.session(machine) != nil }) {
		t.Fatal("worker did not open an agent session")
	}
	cluster.run(reportIntervals(1), nil)
	if leaderView() < 2 {
		t.Errorf("leader has a report of epoch %d, machine is in epoch %d", leaderView(), cluster.workers[machine].WorkerEpoch)
	}
}

// machineServedBy returns a controller for which matches returns true, and a machine with tasks
// that reports to it.
func (cluster *simCluster) machineServedBy(matches func(node string) bool) (node, machine string) {
	cluster.t.Helper()
	for _, node := range cluster.names {
		if !matches(node) {
			continue
		}
		for _, m := range cluster.cores[node].agents.ownMachines() {
			if len(m.Tasks) > 0 {
				return node, m.Machine
			}
		}
	}
	cluster.t.Fatal("no matching controller serves a machine with tasks")
	return "", ""
}

// reportTo makes a machine that stopped reporting report again, to the given controller.
func (cluster *simCluster) reportTo(machine, node string) {
	delete(cluster.nonReportingWorkers, machine)
	for cluster.names[cluster.workers[machine].node%len(cluster.names)] != node {
		cluster.workers[machine].node++
	}
}
