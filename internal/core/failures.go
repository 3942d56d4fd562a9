package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// Most errors come from a faulty machine, some from a job that was submitted with a mistake
// and fails wherever it runs. A job that fails on several machines and succeeds on none is
// suspected; failures of other jobs speak against the machine. Every controller learns from
// the reports that are passed on, so that a new leader knows what the one before did.

// cordonThreshold is the failure score from which a machine takes no more tasks.
const cordonThreshold = 3

// maxCanaryDoublings bounds how often the pause between the tries of a suspected job doubles.
const maxCanaryDoublings = 5

// attributeFailures takes the ends of tasks that a report tells of for the first time.
func (c *Core) attributeFailures(m *worker.Machine, report *protocol.Report) {
	for _, t := range report.Tasks {
		if t.State != protocol.Exited || t.Why != protocol.WhyDone && t.Why != protocol.WhyError {
			continue
		}
		known, found := m.Find(t.Task, t.Attempt)
		if found && known.State == protocol.Exited && m.Session == report.Session {
			continue
		}
		id, _, ok := job.ParseTaskID(t.Task)
		if j := c.jobs[id]; ok && j != nil {
			c.attributeExit(j, m, report.Machine, t)
		}
	}
}

// attributeExit counts the end of a task for or against its job and its machine.
func (c *Core) attributeExit(j *job.Job, m *worker.Machine, machine string, t protocol.TaskReport) {
	if t.Why == protocol.WhyDone {
		m.ClearFailures()
		if j.Suspected && c.leads(j) {
			c.log(Info, "job is no longer suspected of a mistake", "job", j.ID)
		}
		j.MarkProven()
		return
	}
	m.RecordFailure(j.ID)
	if !j.RecordFailure(machine) {
		return
	}
	c.requestRound()
	if c.leads(j) {
		j.MarkDirty(0)
		c.log(Info, "job is suspected of a mistake", "job", j.ID, "team", j.Team, "class", j.Class,
			"failed_on", j.FailedOn, "effect", "tries one task at a time until one succeeds or its user cancels it")
	}
}

// failureScore counts what speaks against a machine: each failure of a job that succeeds
// elsewhere, one of a job that has not succeeded yet, and none of a job that is suspected
// itself or has ended.
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

// delayCanary delays the next try of a suspected job, longer each time.
func (c *Core) delayCanary(j *job.Job) {
	if j.Suspected && len(j.Bound) <= 1 {
		j.NotBefore = c.now.Steady + c.reportInterval()<<min(j.Probes, maxCanaryDoublings)
		j.Probes++
	}
}

// startAllowance is how many more tasks of a job may be placed now: a suspected one has one at
// a time.
func (c *Core) startAllowance(j *job.Job) int {
	if c.isOutgoing(j.ID) {
		return 0
	}
	if j.Suspected && j.Kind != job.Gang {
		return max(0, min(j.PendingTasks(), 1-len(j.Bound)))
	}
	return j.PendingTasks()
}
