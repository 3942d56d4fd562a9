package core

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

func TestStartHeldByTheNetworkIsRefusedAfterTheTaskWentElsewhere(t *testing.T) {
	w := newWorld(t).ready()
	w.loseDeliveries = true
	accepted(t, w.submit("a", "req-blue-1", 2, ""))
	if !w.run(time.Minute, func() bool {
		return slices.ContainsFunc(w.heldDeliveries, func(d Deliver) bool { return len(d.Orders.Commands) > 0 })
	}) {
		t.Fatal("nothing was delivered")
	}
	w.loseDeliveries = false
	if !w.run(time.Minute, w.finished("req-blue-1")) {
		t.Fatal("job does not end after a lost start")
	}
	accepted(t, w.submit("b", "req-blue-2", 2, ""))
	w.run(3*time.Second, nil)
	before := len(w.starts)
	for _, d := range w.heldDeliveries {
		w.deliver("a", d)
	}
	w.run(time.Minute, w.finished("req-blue-2"))
	if len(w.starts) < before {
		t.Error("starts were lost")
	}
	w.startedOnce()
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

func TestReportsWithNonsenseAreHarmless(t *testing.T) {
	w := newWorld(t).ready()
	for i, task := range []string{"", "x", "req-1/", "req-1/-4", "req-1/99999999999", "req-unknown/0"} {
		r := protocol.Report{Machine: "vm-odd", Address: "x", Type: "odd", Session: 1, Seq: uint64(i + 1),
			Tasks: []protocol.TaskReport{{Task: task, Attempt: 1, State: "odd"}}}
		if a := w.request("a", func(req uint64) Command { return Heartbeat{Req: req, Report: r} }); a.Status != http.StatusOK {
			t.Errorf("report of %q got %d", task, a.Status)
		}
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

func TestStartsAreRefusedWhileAWorkerDoesNotAnswer(t *testing.T) {
	w := newWorld(t).ready()
	c := w.cores["a"]
	for range nodeNames {
		w.addWorker("z1", false)
	}
	w.run(8*time.Second, func() bool { return len(c.agents.byMachine) > 0 })
	for id, k := range c.agents.all() {
		s := Start{Machine: id, Task: "req-blue-1/0", Attempt: 1, Token: k.token, Epoch: k.epoch, Need: job.Resources{CPUs: 1}}
		if why := c.refusalReasonFor(&s); why != "" {
			t.Errorf("healthy: %s", why)
		}
		w.send("a", DeliveryResult{Machine: id, Orders: protocol.Orders{Token: k.token}})
		w.step("a")
		if why := c.refusalReasonFor(&s); why == "" {
			t.Error("a worker without an answer takes starts")
		}
		return
	}
	w.workers = nil
	t.Fatal("no worker reports to a")
}
