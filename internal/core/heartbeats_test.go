package core

import (
	"net/http"
	"testing"
	"time"

	"pepperlever/internal/protocol"
)

// Reports of tasks with malformed or unknown names are answered as others are.
func TestMalformedReportsAreHarmless(t *testing.T) {
	w := newWorld(t).ready()
	for i, task := range []string{"", "x", "req-1/", "req-1/-4", "req-1/99999999999", "req-unknown/0"} {
		r := protocol.Report{Machine: "vm-odd", Address: "x", Type: "odd", Session: 1, Seq: uint64(i + 1),
			Tasks: []protocol.TaskReport{{Task: task, Attempt: 1, State: "odd"}}}
		if a := w.request("a", func(req uint64) Command { return Heartbeat{Req: req, Report: r} }); a.Status != http.StatusOK {
			t.Errorf("report of %q got %d", task, a.Status)
		}
	}
}

// Leaders must not bind tasks to the machines of a controller that has fallen silent: the
// starts would be lost, and each task would wait for a fence.
func TestMachinesOfASilentControllerAreNotSchedulable(t *testing.T) {
	w := busyWorld(t, 6)
	var lost []string
	for id := range w.cores["c"].agents.all() {
		lost = append(lost, id)
	}
	if len(lost) == 0 {
		t.Fatal("no worker reports to c")
	}
	w.crash("c")
	for _, id := range lost {
		w.workers[id].next = w.now + time.Minute
	}
	a := w.cores["a"]
	w.run(a.reportInterval()+time.Second, nil)
	for _, id := range lost {
		if m := a.machines.Get(id); m != nil && a.isSchedulable(m) {
			t.Errorf("%s takes tasks though its controller is silent", id)
		}
	}
}

// An agent that turns to a new controller is asked for a report under the new token, which
// proves what was lost with the controller before.
func TestNewAgentIsProbedAtOnce(t *testing.T) {
	w := busyWorld(t, 1)
	w.crash("c")
	w.expire("c")
	var probed int
	for id, f := range w.workers {
		if nodeNames[f.node%len(nodeNames)] != "c" {
			continue
		}
		a := w.cores["a"]
		f.node = 0
		w.report(f)
		if session := a.agents.session(id); session != nil && (session.delivering || f.Token == session.token) {
			probed++
		}
	}
	if probed == 0 {
		t.Error("no worker of c was asked")
	}
}
