package core

import (
	"testing"
	"time"
)

// Guards against a job that never ends. Its tasks were lost with their machine's lease, and the
// only controller that had seen this dropped the agent's session while it was partitioned from
// all others. The next report contained nothing new for that controller and was not shared, so
// the leader still considered the tasks running.
func TestFirstReportOfASessionIsSharedEvenIfUnchanged(t *testing.T) {
	w := idleWorld(t, 10)
	w.noCloud, w.allowRacingStarts, w.taskTime = true, true, 10*time.Minute
	accepted(t, w.submit("a", "req-free-1", 20, ""))
	w.started("req-free-1", 20)
	leader := w.leaderOf("free")
	node, machine := w.machineServedBy(func(node string) bool { return node != leader && node != w.cores["a"].fleet.leader })
	leaderView := func() uint64 { return w.cores[leader].machines.Get(machine).Session }

	w.silentWorkers[machine] = true
	w.refuse(func(from, to string) bool { return from == node || to == node })
	w.withoutStore[node] = true // its lease stays live
	if !w.run(w.lease()+reportIntervals(4), func() bool { return w.cores[node].agents.session(machine) == nil }) {
		t.Fatal("session of a silent agent was not dropped")
	}
	if held := w.cores[node].machines.Get(machine).Session; held != 2 || leaderView() != 1 {
		t.Fatalf("agent's controller knows epoch %d and the leader epoch %d, want 2 and 1", held, leaderView())
	}
	w.restore()
	delete(w.withoutStore, node)
	w.run(time.Second, nil)
	w.reportTo(machine, node)
	if !w.run(reportIntervals(3), func() bool { return w.cores[node].agents.session(machine) != nil }) {
		t.Fatal("agent did not open a session")
	}
	w.run(reportIntervals(1), nil)
	if leaderView() < 2 {
		t.Errorf("leader has a report of epoch %d, machine is in epoch %d", leaderView(), w.workers[machine].Session)
	}
}

// machineServedBy returns a controller that matches, and a machine with tasks that reports to
// it.
func (w *world) machineServedBy(matches func(node string) bool) (node, machine string) {
	w.t.Helper()
	for _, node := range w.names {
		if !matches(node) {
			continue
		}
		for _, m := range w.cores[node].agents.ownMachines() {
			if len(m.Tasks) > 0 {
				return node, m.Machine
			}
		}
	}
	w.t.Fatal("no matching controller serves a machine with tasks")
	return "", ""
}

// reportTo makes a silent machine report again, to the given controller.
func (w *world) reportTo(machine, node string) {
	delete(w.silentWorkers, machine)
	for w.names[w.workers[machine].node%len(w.names)] != node {
		w.workers[machine].node++
	}
}
