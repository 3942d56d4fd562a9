package core

import (
	"strings"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
	"pepperlever/internal/protocol"
)

// cancelRecord is the stored value of a cancellation.
type cancelRecord struct {
	// RequestedAt is the wall-clock time of the user's request in Unix milliseconds. It only
	// affects how soon a controller that learns of the cancellation late returns machines.
	RequestedAt int64 `json:"t,omitempty"`
}

// onCancelPut applies a stored cancellation to the replica.
func (c *Core) onCancelPut(item protocol.KeyValue) error {
	var record cancelRecord
	if err := json.Unmarshal(item.Value, &record); err != nil {
		return err
	}
	id := strings.TrimPrefix(item.Key, keyCancel)
	c.replica.cancelRequests[id] = record.RequestedAt
	c.announcements.apply(Cancellation{Job: id, Revision: item.Version, RequestedAt: record.RequestedAt})
	return nil
}

// markCancelled marks a job as cancelled and stops its tasks. A stored binding is removed only once
// its task is proven to be no longer on its machine.
func (c *Core) markCancelled(j *job.Job) {
	if j == nil || j.Cancelled {
		return
	}
	j.Cancel()
	j.CancelledAt, j.CancelRequestedAtMS = c.now.Steady, c.replica.cancelRequests[j.ID]
	if a := c.announcements.find(j.ID); a != nil {
		j.CancelledAt, j.CancelRequestedAtMS = a.learnedAt, a.RequestedAt
	}
	if !j.InFlight {
		c.unbindUnstored(j)
	}
	c.stopCancelledTasks(j)
	c.requestRound()
}

// cancelled reports whether a job is known to be cancelled.
func (c *Core) cancelled(id string) bool {
	j := c.jobs[id]
	return c.userCancelled(id) || j != nil && j.Cancelled || c.ended.isCancelled(id)
}

// userCancelled reports whether a job is known to have been cancelled by its own user, and not only
// because a job that it depends on was cancelled.
func (c *Core) userCancelled(id string) bool {
	_, requested := c.replica.cancelRequests[id]
	return requested || c.announcements.has(id)
}

// stopCancelledJobs stops the tasks of the cancelled jobs of a team that another controller leads.
func (c *Core) stopCancelledJobs(t *team) {
	for _, j := range ordered(t.jobs) {
		if j.Cancelled {
			c.stopCancelledTasks(j)
		}
	}
}

// stopCancelledTasks stops the remaining tasks of a cancelled job. The job's leader stops all of
// them. Every other controller stops those on the machines that it serves, since the leader's
// commands are lost while controllers refuse each other's connections. A machine on which a task
// does not end is returned.
func (c *Core) stopCancelledTasks(j *job.Job) {
	leads := c.leads(j)
	for i, b := range ordered(j.Bound) {
		if !b.Stored {
			continue
		}
		if leads || c.agents.session(b.Machine) != nil {
			c.reconciler.stopTask(j, i, b, 0)
		}
		if c.mayStillRun(j, i, b) {
			c.returnTracker.returnUnstopped(j, b.Machine)
		}
	}
}

// mayStillRun reports whether a task of a cancelled job may still be on its machine. It returns false
// if there is proof that the task has exited or is not on the machine. Without proof, it also returns
// false while the machine's reports lack the task and arrive through a controller that knows of the
// cancellation: that controller stops the task if a delayed start command still reaches the machine.
func (c *Core) mayStillRun(j *job.Job, i int, b *job.Binding) bool {
	if c.cordons.isTerminated(b.Machine) || c.returnTracker.isConfirmed(b.Machine) {
		return false
	}
	m, task := c.machines.Get(b.Machine), j.TaskID(i)
	if m == nil {
		return true
	}
	evidence, _ := m.Evidence(task, b)
	if evidence == worker.Inconclusive && c.announcements.has(j.ID) {
		_, found := m.Find(task, b.Attempt)
		recent := c.peerReachability.receivesMessagesFrom(m.Node) && c.now.Steady-m.LastContact < 2*c.reportInterval()
		return found || !recent || c.announcements.controllerMayBeUnaware(j.ID, b.Machine)
	}
	return evidence == worker.Inconclusive || evidence == worker.Present
}
