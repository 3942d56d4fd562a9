package core

import (
	"fmt"
	"testing"
	"time"

	"pepperlever/internal/core/job"
)

// flushed lists the jobs that are written with this many changes saved up.
func flushed(c *Core, level float64) []string {
	c.effects, c.writer.budget.refilledAt, c.writer.budget.level = nil, c.now.Steady, level
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

// Nothing waits for finished tasks, so they must not take the changes that starts need.
func TestStartsComeBeforeFinishedTasks(t *testing.T) {
	c := busyCore(100)
	c.now.Steady = time.Hour
	ended, started := c.jobs["req-0"], c.jobs["req-10"]
	ended.Finish(0)
	started.Unbind(3)
	started.Bind(3, &job.Binding{Machine: "vm-000013", Attempt: 2})
	started.Urgent = true
	if got := fmt.Sprint(flushed(c, 0.5)); got != "[req-10]" {
		t.Errorf("stored %s with little left", got)
	}
	if got := fmt.Sprint(flushed(c, 100)); got != "[req-0]" {
		t.Errorf("stored %s with savings", got)
	}
}

// Finished tasks of jobs that go on are stored only while more than half of the savings is left.
func TestFinishedTasksAreStoredFromSavingsOnly(t *testing.T) {
	c := busyCore(100)
	c.now.Steady = time.Hour
	j := c.jobs["req-0"]
	j.Finish(0)
	c.writer.budget.refill(c.now.Steady, c.writer.jobWriteRate())
	j.StoredAt = c.now.Steady - 2*max(c.reportInterval(), c.writer.gatherTime())
	if got := flushed(c, savingsSeconds*c.writer.budget.rate/4); len(got) > 0 {
		t.Errorf("stored %v without savings", got)
	}
	if got := flushed(c, savingsSeconds*c.writer.budget.rate); len(got) != 1 {
		t.Errorf("stored %v with savings", got)
	}
}

// Hundreds of small jobs of the lowest priority wait with one leader, urgent starts with another:
// the urgent ones have nearly all changes, and the swarm has them once it is alone.
func TestSwarmOfTheLowestPriorityLeavesTheChangesToUrgentStarts(t *testing.T) {
	c := busyCore(4)
	all := c.cfg.Params.State.WriteRPS * jobsShare
	other := c.peers.get(c.cfg.Peers[0].Node)
	other.lastContact, other.pendingWrites = c.now.Steady, changesByRank{4: 500}
	c.writer.budget.due = changesByRank{2: int(all)}
	if got := c.writer.jobWriteRate(); got < 0.9*all {
		t.Errorf("urgent starts have %v of %v changes a second", got, all)
	}
	c.writer.budget.due, other.pendingWrites = changesByRank{4: 500}, changesByRank{}
	if got := c.writer.jobWriteRate(); got < 0.9*all {
		t.Errorf("a swarm alone has %v of %v changes a second", got, all)
	}
}
