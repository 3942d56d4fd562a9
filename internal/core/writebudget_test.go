package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// stored lists the jobs that a flush with this much saved writes.
func stored(c *Core, level float64) []string {
	c.effects, c.writeBudget.at, c.writeBudget.level = nil, c.now.Steady, level
	c.flushJobs()
	var out []string
	for _, e := range c.effects {
		if txn, ok := e.(StoreTxn); ok {
			id, _, _ := parseJobKey(txn.Txn.If[1].Key)
			out = append(out, id)
		}
	}
	return out
}

// Starts used to wait while a home's part of the store's changes went to
// finished tasks, which nothing waits for.
func TestStartsComeBeforeFinishedTasks(t *testing.T) {
	c := busyCore(100)
	c.now.Steady = time.Hour
	ended, started := c.jobs["req-0"], c.jobs["req-10"]
	ended.Finish(0)
	started.Unbind(3)
	started.Bind(3, &job.Binding{Machine: "vm-000013", Attempt: 2})
	started.Urgent = true
	if got := fmt.Sprint(stored(c, 0.5)); got != "[req-10]" {
		t.Errorf("stored %s with little left", got)
	}
	if got := fmt.Sprint(stored(c, 100)); got != "[req-0]" {
		t.Errorf("stored %s with savings", got)
	}
}

func TestFinishedTasksAreStoredFromSavingsOnly(t *testing.T) {
	c := busyCore(100)
	c.now.Steady = time.Hour
	j := c.jobs["req-0"]
	j.Finish(0)
	c.refill()
	j.StoredAt = c.now.Steady - 2*max(c.reportInterval(), c.gatherTime())
	if got := stored(c, savings*c.writeBudget.rate/4); len(got) > 0 {
		t.Errorf("stored %v without savings", got)
	}
	if got := stored(c, savings*c.writeBudget.rate); len(got) != 1 {
		t.Errorf("stored %v with savings", got)
	}
}

// A report of hundreds of tasks that nobody knows asks once a job,
// and stops nothing before the store has answered.
func TestReportOfHundredsOfUnknownTasksIsBounded(t *testing.T) {
	c := busyCore(10)
	r := benchReport(0, "req-0/0")
	r.Seq = 2
	for n := range 300 {
		r.Tasks = append(r.Tasks, protocol.TaskReport{Task: fmt.Sprintf("req-8%d/%d", n%3, n), Attempt: 1, State: protocol.Running})
	}
	c.effects = nil
	c.handle(Heartbeat{Req: 1, Report: r})
	if w := c.agents[r.Machine]; len(c.lookups.unknown) != 3 || len(w.queuedCommands) > 0 {
		t.Errorf("%d questions for three jobs, %d orders", len(c.lookups.unknown), len(w.queuedCommands))
	}
}

// A swarm of a guest's small jobs used to take nine tenths of the changes, since
// hundreds of them waited, and the urgent starts of the other homes had the rest.
func TestSwarmOfTheLowestPriorityLeavesTheChangesToUrgentStarts(t *testing.T) {
	c := busyCore(4)
	all := c.cfg.Params.State.WriteRPS * jobsPart
	other := c.peers[c.cfg.Peers[0].Node]
	other.lastContact, other.pendingWrites = c.now.Steady, ranks{4: 500}
	c.writeBudget.due = ranks{2: int(all)}
	if got := c.part(); got < 0.9*all {
		t.Errorf("urgent starts have %v of %v changes a second", got, all)
	}
	c.writeBudget.due, other.pendingWrites = ranks{4: 500}, ranks{}
	if got := c.part(); got < 0.9*all {
		t.Errorf("a swarm alone has %v of %v changes a second", got, all)
	}
}

// Sixty-four reports of hundreds of tasks each made a message longer than a peer
// takes, so that the stream between them was opened anew without end.
func TestMessagesOfLongReportsStayShort(t *testing.T) {
	var all []Observation
	for n := range 200 {
		o := Observation{}
		o.Report.Tasks = make([]protocol.TaskReport, n*5)
		all = append(all, o)
	}
	seen := 0
	for part := range batchObservations(all) {
		tasks := 0
		for _, o := range part {
			tasks += len(o.Report.Tasks)
		}
		if tasks > tasksPerMessage && len(part) > 1 {
			t.Errorf("%d tasks in %d reports of one message", tasks, len(part))
		}
		seen += len(part)
	}
	if seen != len(all) {
		t.Errorf("%d of %d reports are passed on", seen, len(all))
	}
}
