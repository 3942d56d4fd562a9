package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// actForUnreachableLeaders starts and forgets tasks on this node's machines for the leaders
// that this node is partitioned from.
func (r *storeRelay) actForUnreachableLeaders() {
	for session, m := range r.core.agents.ownMachines() {
		r.startForUnreachableLeaders(session, m)
		r.forgetForUnreachableLeaders(m)
	}
}

// startForUnreachableLeaders starts what is bound to a machine in the store, for leaders whose
// messages may be lost: once, under exactly the token and epoch of the binding, as the
// leader's own message would.
func (r *storeRelay) startForUnreachableLeaders(session *agentSession, m *worker.Machine) {
	if session.unanswered {
		return
	}
	due := func(ref job.TaskRef, b *job.Binding) bool { return r.dueForUnreachableLeader(ref, b, session, m) }
	r.core.machines.EachStoredBinding(m.Machine, due, func(j *job.Job, i int, b *job.Binding) {
		start, decided := r.core.agents.startLedgers.find(m.Machine, b.Token, taskAttempt{j.TaskID(i), b.Attempt})
		if !decided {
			r.startForLeader(j, i, b)
			return
		}
		// Whether the start has come to the worker is not known: a newer token shows it, as
		// the leader would ask for.
		if !start.refused && r.now.Steady-start.at > 2*r.reportInterval() {
			r.core.agents.fence(Fence{Machine: m.Machine, Above: b.Token})
		}
	})
}

// dueForUnreachableLeader tells whether a bound task is to be started by this node.
func (r *storeRelay) dueForUnreachableLeader(
	ref job.TaskRef, b *job.Binding, session *agentSession, m *worker.Machine,
) bool {
	if b.Token != session.token || b.Epoch != session.epoch || ref.Job.Cancelled {
		return false
	}
	if isIncompleteGang(ref.Job) || !r.core.partitionedFromLeader(ref.Job) {
		return false
	}
	evidence, _ := m.Evidence(ref.Job.TaskID(ref.Index), b)
	return evidence == worker.Inconclusive
}

// isIncompleteGang tells whether tasks of a gang are not bound yet: its tasks are started once
// all of them are.
func isIncompleteGang(j *job.Job) bool { return j.Kind == job.Gang && len(j.Bound) < j.Tasks }

// startForLeader forwards the start of a task that its leader may not be able to ask for.
func (r *storeRelay) startForLeader(j *job.Job, i int, b *job.Binding) {
	r.log(Debug, "task started for an unreachable leader", "task", j.TaskID(i), "attempt", b.Attempt, "machine", b.Machine)
	r.core.agents.forwardStart(r.core.teamBy[j.Team].leader, Start{
		Machine:  b.Machine,
		Task:     j.TaskID(i),
		Attempt:  b.Attempt,
		Token:    b.Token,
		Epoch:    b.Epoch,
		Need:     j.Need,
		Revision: r.core.replica.revision,
	})
}

// forgetForUnreachableLeaders makes a machine forget exited tasks whose end their leader has stored.
func (r *storeRelay) forgetForUnreachableLeaders(m *worker.Machine) {
	if m.ExitedTasks == 0 {
		return
	}
	for _, t := range m.Tasks {
		if t.State != protocol.Exited {
			continue
		}
		id, i, ok := job.ParseTaskID(t.Task)
		j := r.core.jobs[id]
		if !ok || j == nil || t.Attempt > j.StoredAttempt || !r.core.partitionedFromLeader(j) {
			continue
		}
		if b := j.Bound[i]; b == nil || b.Attempt != t.Attempt {
			r.core.reconciler.stopOrForgetTask(m, t)
		}
	}
}
