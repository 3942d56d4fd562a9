package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/core/job"
)

// flushedJobs returns the IDs of the jobs that are written when the budget has the given number of
// changes left.
func flushedJobs(c *Core, available float64) []string {
	c.effects, c.writer.budget.refilledAt, c.writer.budget.available = nil, c.now.Steady, available
	c.writer.flushJobs()
	var out []string
	for _, e := range c.effects {
		if txn, ok := e.(StoreTxn); ok {
			id, _, _ := parseJobKey(txn.Txn.If[1].Key)
			out = append(out, id)
		}
	}
	return out
}

// When the budget is short, the bindings of tasks that are about to start are stored before
// finished tasks, because nothing waits for the writes of the latter.
func TestStartsAreStoredBeforeDoneTasks(t *testing.T) {
	c := newBusyCore(100)
	c.now.Steady = time.Hour
	ended, started := c.jobs["req-0"], c.jobs["req-10"]
	ended.Finish(0)
	started.Unbind(3)
	started.Bind(3, &job.Binding{Machine: "vm-000013", Attempt: 2})
	started.Urgent = true
	if got := fmt.Sprint(flushedJobs(c, 0.5)); got != "[req-10]" {
		t.Errorf("low budget: stored %s, want [req-10]", got)
	}
	if got := fmt.Sprint(flushedJobs(c, 100)); got != "[req-0]" {
		t.Errorf("ample budget: stored %s, want [req-0]", got)
	}
}

// Done tasks of jobs that continue are stored only while more than half of the budget is left.
func TestDoneTasksAreNotStoredFromReserve(t *testing.T) {
	c := newBusyCore(100)
	c.now.Steady = time.Hour
	j := c.jobs["req-0"]
	j.Finish(0)
	c.writer.budget.refill(c.now.Steady, c.writer.jobWriteRate())
	j.StoredAt = c.now.Steady - 2*max(c.reportInterval(), c.writer.exitBatchInterval())
	if got := flushedJobs(c, burstSeconds*c.writer.budget.rate/4); len(got) > 0 {
		t.Errorf("less than half of the budget left: stored %v, want none", got)
	}
	if got := flushedJobs(c, burstSeconds*c.writer.budget.rate); len(got) != 1 {
		t.Errorf("full budget: stored %v, want one job", got)
	}
}

// One leader has hundreds of low-priority starts to store, another has urgent ones. The urgent
// starts get nearly the whole write rate, and the low-priority starts get it once no others wait.
func TestLowPriorityStartsYieldWriteRateToUrgentStarts(t *testing.T) {
	c := newBusyCore(4)
	all := c.cfg.Params.State.WriteRPS * jobWriteShare
	other := c.peers.get(c.cfg.Peers[0].Node)
	c.peers.recordContact(c.cfg.Peers[0].Node, c.now.Steady)
	other.pendingWrites = changesByRank{4: 500}
	c.writer.budget.due = changesByRank{2: int(all)}
	if got := c.writer.jobWriteRate(); got < 0.9*all {
		t.Errorf("urgent starts get %v of %v changes per second", got, all)
	}
	c.writer.budget.due, other.pendingWrites = changesByRank{4: 500}, changesByRank{}
	if got := c.writer.jobWriteRate(); got < 0.9*all {
		t.Errorf("low-priority starts alone get %v of %v changes per second", got, all)
	}
}
