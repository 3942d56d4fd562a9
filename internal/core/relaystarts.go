package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// actForUnreachableLeaders starts and forgets tasks on this node's machines on behalf of the
// leaders that this node is partitioned from.
func (r *storeRelay) actForUnreachableLeaders() {
	for session, m := range r.core.agents.ownMachines() {
		r.startForUnreachableLeaders(session, m)
		r.forgetForUnreachableLeaders(m)
	}
}

// startForUnreachableLeaders starts the tasks that the replica shows as bound to a machine, for
// leaders whose messages may be lost. Each is started at most once, under exactly the token and
// epoch of its binding, as if its leader had asked for it. If it remains unknown whether a task was
// started, the machine's token is raised to find out.
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
		// It is unknown whether the start command has reached the worker. The leader would request
		// a fence to find out, since a report under a newer token is conclusive.
		if !start.refused && r.now.Steady-start.at > 2*r.reportInterval() {
			r.core.agents.fence(Fence{Machine: m.Machine, Above: b.Token})
		}
	})
}

// dueForUnreachableLeader reports whether this node should act for the leader of a bound task whose
// start is not confirmed yet.
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

// isIncompleteGang reports whether some tasks of a gang are not bound yet. The tasks of a gang
// start only once all of them are bound.
func isIncompleteGang(j *job.Job) bool { return j.Kind == job.Gang && len(j.Bound) < j.Tasks }

// startForLeader forwards the start command for a task whose leader may not be able to request it.
func (r *storeRelay) startForLeader(j *job.Job, i int, b *job.Binding) {
	r.log(Debug, "task started for an unreachable leader", "task", j.TaskID(i), "attempt", b.Attempt, "machine", b.Machine)
	r.core.agents.forwardStart(r.core.teamsByName[j.Team].leader, startOf(j, i, b, r.core.replica.revision))
}

// forgetForUnreachableLeaders commands a machine's worker to forget exited tasks whose end their
// leaders have already stored.
func (r *storeRelay) forgetForUnreachableLeaders(m *worker.Machine) {
	if m.ExitedTasks == 0 {
		return
	}
	for _, taskReport := range m.Tasks {
		if taskReport.State != protocol.Exited {
			continue
		}
		id, i, ok := job.ParseTaskID(taskReport.Task)
		j := r.core.jobs[id]
		if !ok || j == nil || taskReport.Attempt > j.StoredAttempt || !r.core.partitionedFromLeader(j) {
			continue
		}
		if binding := j.Bound[i]; binding == nil || binding.Attempt != taskReport.Attempt {
			r.core.reconciler.stopOrForgetTask(m, taskReport)
		}
	}
}
