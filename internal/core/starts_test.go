package core

import (
	"slices"
	"testing"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// A worker rejects a start command that the network delays until the task has been started
// elsewhere.
func TestDelayedStartIsRejectedAfterTaskStartedElsewhere(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	cluster.loseDeliveries = true
	requireAccepted(t, cluster.submit("a", "req-blue-1", 2, ""))
	if !cluster.run(time.Minute, func() bool {
		return slices.ContainsFunc(cluster.heldDeliveries, func(d Deliver) bool { return len(d.CommandBatch.Commands) > 0 })
	}) {
		t.Fatal("no start was sent to a worker")
	}
	cluster.loseDeliveries = false
	if !cluster.run(time.Minute, cluster.allDone("req-blue-1")) {
		t.Fatal("job did not end after a lost start")
	}
	requireAccepted(t, cluster.submit("b", "req-blue-2", 2, ""))
	cluster.run(3*time.Second, nil)
	before := len(cluster.starts)
	for _, d := range cluster.heldDeliveries {
		cluster.deliver("a", d)
	}
	cluster.run(time.Minute, cluster.allDone("req-blue-2"))
	if len(cluster.starts) < before {
		t.Error("starts were lost")
	}
	cluster.checkStartedOnce()
}

// Machines that stop reporting are returned, and their tasks run on other machines.
func TestDeadMachineIsReturnedAndItsTasksRunElsewhere(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	requireAccepted(t, cluster.submit("a", "req-blue-1", 6, ""))
	cluster.waitUntilStarted("req-blue-1", 3)
	for _, f := range cluster.workers {
		f.dead = true
	}
	if !cluster.run(3*time.Minute, cluster.allDone("req-blue-1")) {
		t.Fatal("job did not end")
	}
}

// After an unanswered delivery, a controller refuses start commands for the worker until the
// worker's next report.
func TestStartsAreRefusedWhileWorkerIsUnresponsive(t *testing.T) {
	cluster := newSimCluster(t).waitUntilReady()
	c := cluster.cores["a"]
	for range nodeNames {
		cluster.addWorker("z1", false)
	}
	cluster.run(8*time.Second, func() bool { return len(c.agents.byMachine) > 0 })
	for id, session := range c.agents.all() {
		s := Start{Machine: id, Task: "req-blue-1/0", Attempt: 1, Token: session.token, Epoch: session.epoch, Need: job.Resources{CPUs: 1}}
		if reason := c.agents.refusalReasonFor(&s); reason != "" {
			t.Errorf("start for a healthy worker is refused: %s", reason)
		}
		cluster.send("a", DeliveryResult{Machine: id, CommandBatch: protocol.CommandBatch{Token: session.token}})
		cluster.step("a")
		if reason := c.agents.refusalReasonFor(&s); reason == "" {
			t.Error("start for a worker that did not answer is not refused")
		}
		return
	}
	cluster.workers = nil
	t.Fatal("no worker reports to a")
}

// A start command that arrives after the token of its machine was raised, or after its epoch has
// ended, is refused: a report of the worker has already proven that the task is not on the machine,
// so the task may run elsewhere. The worker itself would not reject the command, because queued
// start commands are delivered under the current epoch.
func TestStartUnderAnotherTokenOrEpochIsRefused(t *testing.T) {
	for name, s := range map[string]Start{
		"as it is":                    {Token: 5, Epoch: 2},
		"former token":                {Token: 3, Epoch: 2},
		"token of another controller": {Token: 4, Epoch: 2},
		"later token":                 {Token: 6, Epoch: 2},
		"former epoch":                {Token: 5, Epoch: 1},
		"later epoch":                 {Token: 5, Epoch: 3},
	} {
		c := newSimCluster(t).cores["a"]
		c.handleCatalog(CatalogReceived{Types: newSimCluster(t).types})
		c.agents.tokens.acquired[3], c.agents.tokens.acquired[5] = true, true
		session := newAgentSession(5, 2, "")
		c.agents.add("vm", session)
		m := c.addMachine("vm")
		m.Machine, m.Type, m.Node, m.WorkerEpoch = "vm", "small", "a", 2
		c.machines.RecordContact(m, false, c.now.Steady)
		s.Machine, s.Task, s.Attempt = "vm", "req-free-1/0", 1
		c.agents.forwardStart("b", s)
		if queued := len(session.queuedStarts) > 0; queued != (name == "as it is") {
			t.Errorf("%s: start is queued for delivery: %v", name, queued)
		}
	}
}
