package core

import (
	"net/http"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// Reports of tasks with malformed or unknown IDs are answered like any other.
func TestMalformedReportsAreAnswered(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	for i, task := range []string{"", "x", "req-1/", "req-1/-4", "req-1/99999999999", "req-unknown/0"} {
		r := protocol.Report{Machine: "vm-odd", Address: "x", Type: "odd", WorkerEpoch: 1, Seq: uint64(i + 1),
			Tasks: []protocol.TaskReport{{Task: task, Attempt: 1, State: "odd"}}}
		if a := cluster.request("a", func(req uint64) Command { return Heartbeat{Req: req, Report: r} }); a.Status != http.StatusOK {
			t.Errorf("report of task %q: got status %d, want 200", task, a.Status)
		}
	}
}

// Leaders must not bind tasks to the machines of an unresponsive controller: the start commands
// would be lost, and each task would have to wait until a report under a newer token rules out that
// it runs.
func TestMachinesOfAnUnresponsiveControllerAreNotSchedulable(t *testing.T) {
	cluster := newBusySimCluster(t, 6)
	var lost []string
	for id := range cluster.cores["c"].agents.all() {
		lost = append(lost, id)
	}
	if len(lost) == 0 {
		t.Fatal("no worker reports to c")
	}
	cluster.crash("c")
	for _, id := range lost {
		cluster.workers[id].nextReportAt = cluster.now + time.Minute
	}
	a := cluster.cores["a"]
	cluster.run(a.reportInterval()+time.Second, nil)
	for _, id := range lost {
		if m := a.machines.Get(id); m != nil && a.isSchedulable(m) {
			t.Errorf("machine %s is schedulable although its controller is unresponsive", id)
		}
	}
}

// A worker that switches to another controller is probed immediately. Its report under the new
// token proves which start commands were lost with the previous controller.
func TestWorkerIsProbedAfterSwitchingControllers(t *testing.T) {
	cluster := newBusySimCluster(t, 1)
	cluster.crash("c")
	cluster.expire("c")
	var probed int
	for id, f := range cluster.workers {
		if nodeNames[f.node%len(nodeNames)] != "c" {
			continue
		}
		a := cluster.cores["a"]
		f.node = 0
		cluster.report(f)
		if session := a.agents.session(id); session != nil && (session.delivering || f.Token == session.token) {
			probed++
		}
	}
	if probed == 0 {
		t.Error("no worker of c was probed")
	}
}
