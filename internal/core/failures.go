package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// Most task failures are caused by a faulty machine, some by a faulty job that fails wherever it
// runs. A job that fails on several machines and succeeds on none is suspected to be faulty;
// failures of other jobs count against the machine. Every controller evaluates the reports
// that controllers forward to each other, so a new leader has the same evidence as its predecessor.

// cordonThreshold is the failure score at which a machine is cordoned.
const cordonThreshold = 3

// maxCanaryDoublings bounds how often the backoff between the canary starts of a suspected job
// doubles.
const maxCanaryDoublings = 5

// attributeFailures evaluates the task exits that appear in a report for the first time.
func (c *Core) attributeFailures(m *worker.Machine, report *protocol.Report) {
	for _, t := range report.Tasks {
		if t.State != protocol.Exited || t.ExitReason != protocol.ExitDone && t.ExitReason != protocol.ExitError {
			continue
		}
		known, found := m.Find(t.Task, t.Attempt)
		if found && known.State == protocol.Exited && m.WorkerEpoch == report.WorkerEpoch {
			continue
		}
		id, _, ok := job.ParseTaskID(t.Task)
		if j := c.jobs[id]; ok && j != nil {
			c.attributeExit(j, m, report.Machine, t)
		}
	}
}

// attributeExit records the success or failure of a task for its job and its machine.
func (c *Core) attributeExit(j *job.Job, m *worker.Machine, machine string, t protocol.TaskReport) {
	if t.ExitReason == protocol.ExitDone {
		m.ClearFailures()
		if j.Suspected && c.leads(j) {
			c.log(Info, "job is no longer suspected to be faulty", "job", j.ID)
		}
		j.RecordSuccess()
		return
	}
	m.RecordFailure(j.ID)
	if !j.RecordFailure(machine) {
		return
	}
	c.requestRound()
	if c.leads(j) {
		j.MarkDirty(0)
		c.log(Info, "job is suspected to be faulty", "job", j.ID, "team", j.Team, "class", j.Class,
			"failed_on", j.FailedOn, "effect", "starts one task at a time until one succeeds or the job is cancelled")
	}
}

// failureScore weighs the task failures on a machine. It counts every failure of a job that has
// succeeded before, at most one failure of a job that has not, and none of a job that is
// suspected itself or has ended.
func (c *Core) failureScore(m *worker.Machine) int {
	return m.FailureScore(func(id string, failures int) int {
		j := c.jobs[id]
		switch {
		case j == nil || j.Suspected:
			return 0
		case j.HasSucceeded():
			return failures
		default:
			return 1
		}
	})
}

// delayCanary delays the next canary start of a suspected job with exponential backoff. A canary is
// the only task of such a job that may run at a time, apart from the proven replicas of a service.
func (c *Core) delayCanary(j *job.Job) {
	if j.Suspected && len(j.Bound)-c.provenReplicas(j) <= 1 {
		j.NotBefore = c.now.Steady + c.reportInterval()<<min(j.CanaryStarts, maxCanaryDoublings)
		j.CanaryStarts++
	}
}

// startAllowance returns how many more tasks of a job may be placed now. A suspected job may have
// few tasks at a time unless it is a gang. A job handed off to another site may have none.
func (c *Core) startAllowance(j *job.Job) int {
	if c.isOutgoing(j.ID) {
		return 0
	}
	if j.Suspected && j.Kind != job.Gang {
		return max(0, min(j.PendingTasks(), c.canaryAllowance(j)))
	}
	return j.PendingTasks()
}

// canaryAllowance returns how many more canaries of a suspected job may be placed now: one at a time, or,
// for a service, as many at a time as replicas have proven that the service runs.
func (c *Core) canaryAllowance(j *job.Job) int {
	proven := c.provenReplicas(j)
	canaries := len(j.Bound) - proven
	return max(1, proven) - canaries
}

// provenReplicas counts the replicas of a service that have been running for at least a worker lease. A
// replica never ends, so this takes the place of a task that succeeds.
func (c *Core) provenReplicas(j *job.Job) (proven int) {
	if j.Kind != job.Service {
		return 0
	}
	for i, b := range j.Bound {
		m := c.machines.Get(b.Machine)
		if m != nil && m.RunningTime(j.TaskID(i), b.Attempt, c.now.Steady) >= c.times.lease() {
			proven++
		}
	}
	return proven
}
