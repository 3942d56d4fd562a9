package core

import (
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// Most errors come from a faulty machine, some from a job that was submitted
// with a mistake and fails wherever it runs. A job that fails on several
// machines and succeeds on none is suspected; failures of other jobs speak
// against the machine. Every controller learns from the reports that are passed
// on, so that a new home or renter knows what the one before did.

// suspicionThreshold is on how many machines a job that never succeeded has to fail to be
// suspected, cordonThreshold how many failures make a machine unusable.
const (
	suspicionThreshold = 2
	cordonThreshold    = 3
)

// attributeFailures takes the ends that a report tells of for the first time.
func (c *Core) attributeFailures(m *worker.Machine, r *protocol.Report) {
	for _, t := range r.Tasks {
		if t.State != protocol.Exited || t.Why != protocol.WhyDone && t.Why != protocol.WhyError {
			continue
		}
		if old, ok := m.Find(t.Task, t.Attempt); ok && old.State == protocol.Exited && m.Session == r.Session {
			continue
		}
		id, _, ok := job.SplitTask(t.Task)
		if j := c.jobs[id]; ok && j != nil {
			c.attributeExit(j, m, r.Machine, t)
		}
	}
}

// attributeExit sets one end against the job or the machine.
func (c *Core) attributeExit(j *job.Job, m *worker.Machine, machine string, t protocol.TaskReport) {
	if t.Why == protocol.WhyDone {
		m.FailuresByJob = nil
		if j.Suspected && c.leads(j) {
			c.log(Info, "job is no longer suspected of a mistake", "job", j.ID)
		}
		j.Succeeded()
		return
	}
	if m.FailuresByJob == nil {
		m.FailuresByJob = map[string]int{}
	}
	m.FailuresByJob[j.ID]++
	if !slices.Contains(j.FailedOn, machine) && len(j.FailedOn) < maxFailedOn {
		j.FailedOn = append(j.FailedOn, machine)
	}
	if !j.Suspected && !j.Proven && j.Done.Len() == 0 && len(j.FailedOn) >= suspicionThreshold {
		j.Suspected = true
		c.requestRound()
		if c.leads(j) {
			j.Touch(0)
			c.log(Info, "job is suspected of a mistake", "job", j.ID, "team", j.Team, "class", j.Class,
				"failed on", j.FailedOn, "does", "tries one task at a time until one succeeds or its user cancels it")
		}
	}
}

// maxFailedOn bounds how many machines are remembered that a job failed on.
const maxFailedOn = 16

// failureScore counts what speaks against a machine: each failure of a job that
// succeeds elsewhere, one of a job that has not succeeded yet, and none of a job
// that is suspected itself or has ended.
func (c *Core) failureScore(m *worker.Machine) int {
	n := 0
	for id, failures := range m.FailuresByJob {
		switch j := c.jobs[id]; {
		case j == nil || j.Suspected:
		case j.Proven || j.Done.Len() > 0:
			n += failures
		default:
			n++
		}
	}
	return n
}

// delayCanary delays the next try of a suspected job, longer each time.
func (c *Core) delayCanary(j *job.Job) {
	if j.Suspected && len(j.Bound) <= 1 {
		j.NotBefore = c.now.Steady + c.reportInterval()<<min(j.Probes, 5)
		j.Probes++
	}
}

// startAllowance is how many more tasks of a job may be placed now: a suspected one
// has one at a time.
func (c *Core) startAllowance(j *job.Job) int {
	if c.isOutgoing(j.ID) {
		return 0
	}
	if j.Suspected && j.Kind != job.Gang {
		return max(0, min(j.Waiting(), 1-len(j.Bound)))
	}
	return j.Waiting()
}
