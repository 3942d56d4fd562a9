package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// actForUnreachableLeaders starts and forgets tasks on this node's machines for the leaders
// that this node is partitioned from.
func (c *Core) actForUnreachableLeaders() {
	for id, w := range c.agents.all() {
		if m := c.machines.Get(id); m != nil && m.Node == c.cfg.Node {
			c.startForUnreachableLeaders(id, w, m)
			c.forgetForUnreachableLeaders(m)
		}
	}
}

// startForUnreachableLeaders starts what is bound to a machine in the store, for leaders whose
// messages may be lost: once, under exactly the token and epoch of the binding, as the
// leader's own message would.
func (c *Core) startForUnreachableLeaders(id string, w *agentSession, m *worker.Machine) {
	if w.unanswered {
		return
	}
	due := func(ref job.TaskRef, b *job.Binding) bool { return c.dueForUnreachableLeader(ref, b, w, m) }
	c.eachBindingOn(id, due, func(j *job.Job, i int, b *job.Binding) {
		start, decided := c.agents.startLedgers.find(id, b.Token, taskAttempt{j.TaskID(i), b.Attempt})
		if !decided {
			c.startForLeader(j, i, b)
			return
		}
		// Whether the start has come to the worker is not known: a newer token shows it, as
		// the leader would ask for.
		if !start.refused && c.now.Steady-start.at > 2*c.reportInterval() {
			c.agents.fence(Fence{Machine: id, Above: b.Token})
		}
	})
}

// dueForUnreachableLeader tells whether a bound task is to be started by this node. The tasks of
// a gang are started once all of them are bound.
func (c *Core) dueForUnreachableLeader(ref job.TaskRef, b *job.Binding, w *agentSession, m *worker.Machine) bool {
	j := ref.Job
	incompleteGang := j.Kind == job.Gang && len(j.Bound) < j.Tasks
	if b.Token != w.token || b.Epoch != w.epoch || j.Cancelled || incompleteGang || !c.partitionedFromLeader(j) {
		return false
	}
	evidence, _ := m.Evidence(j.TaskID(ref.Index), b)
	return evidence == worker.Inconclusive
}

// startForLeader forwards the start of a task that its leader may not be able to ask for.
func (c *Core) startForLeader(j *job.Job, i int, b *job.Binding) {
	c.log(Debug, "task started for an unreachable leader", "task", j.TaskID(i), "attempt", b.Attempt, "machine", b.Machine)
	c.agents.forwardStart(c.teamBy[j.Team].leader, Start{
		Machine:  b.Machine,
		Task:     j.TaskID(i),
		Attempt:  b.Attempt,
		Token:    b.Token,
		Epoch:    b.Epoch,
		Need:     j.Need,
		Revision: c.replica.revision,
	})
}

// forgetForUnreachableLeaders makes a machine forget exited tasks whose end their leader has stored.
func (c *Core) forgetForUnreachableLeaders(m *worker.Machine) {
	if m.ExitedTasks == 0 {
		return
	}
	for _, t := range m.Tasks {
		if t.State != protocol.Exited {
			continue
		}
		id, i, ok := job.ParseTaskID(t.Task)
		j := c.jobs[id]
		if !ok || j == nil || t.Attempt > j.StoredAttempt || !c.partitionedFromLeader(j) {
			continue
		}
		if b := j.Bound[i]; b == nil || b.Attempt != t.Attempt {
			c.stopOrForgetTask(m, t)
		}
	}
}
