// Package worker tracks the state of machines. From the reports of their workers it derives whether
// a task is certainly on a machine, has exited there, or can never start there.
package worker

import (
	"slices"
	"time"

	"pepperlever/internal/core/lastseen"
	"pepperlever/internal/protocol"
)

// Machine holds what is known about a machine, mainly its latest report.
type Machine struct {
	protocol.Report
	// Node is the controller that the machine reports to.
	Node string
	// GrantedToken is the fencing token that the controller has issued to the machine. The token
	// in the report is the highest one that the worker had seen when it made the report.
	GrantedToken uint64
	// AnnouncedSeq is the highest report sequence number that the controller has announced in a
	// heartbeat. It covers reports without changes, which are not forwarded to the other controllers.
	AnnouncedSeq uint64
	// LastContact is when any controller last received a report of the machine or its reply to a
	// delivery of commands.
	LastContact time.Duration
	// LastReport is when any controller last received a report, not counting replies to deliveries.
	LastReport lastseen.Time
	// ReclaimAt is when the cloud reclaims the machine. It is 0 without a reclaim notice.
	ReclaimAt time.Duration
	// IdleSince is the start of the current idle time: when a task was last known to use the
	// machine, or when the machine was added.
	IdleSince time.Duration
	// LastRefusedAt is when a start on the machine was last rejected by its worker or refused by its
	// controller.
	LastRefusedAt time.Duration
	// ExitedTasks is the number of exited tasks in the latest report.
	ExitedTasks int
	// TaskListBytes is an approximate upper bound for the encoded size of the task list in the latest
	// report.
	TaskListBytes int

	images   imageCache
	answers  answerTracker
	failures map[string]int
	// tracked holds what is known of each task of the report, in the order of the report.
	tracked []trackedTask
	// history holds the newest events of the machine. reappeared holds the positions of the tasks of the
	// report that must not be there.
	history    history
	reappeared []int
	// positions is an index of the tasks in the report. It is nil for a short report.
	positions map[attemptKey]int
}

// attemptKey identifies one attempt of a task.
type attemptKey struct {
	task    string
	attempt uint64
}

// linearSearchLimit is the maximum number of tasks in a report that is searched without an index.
const linearSearchLimit = 16

// IsNewer reports whether r is newer than the stored report.
func (m *Machine) IsNewer(r *protocol.Report) bool {
	if r.WorkerEpoch != m.WorkerEpoch {
		return r.WorkerEpoch > m.WorkerEpoch
	}
	return r.Seq > m.Seq
}

// IsOutdated reports whether r is no newer than the latest report that any controller is known to
// have received.
func (m *Machine) IsOutdated(r *protocol.Report) bool {
	return !m.IsNewer(r) || r.WorkerEpoch == m.WorkerEpoch && r.Seq <= m.AnnouncedSeq
}

// HasSameContent reports whether r has the same content as the stored report, apart from the
// sequence number and the remaining time of the reclaim notice.
func (m *Machine) HasSameContent(r *protocol.Report) bool {
	return r.WorkerEpoch == m.WorkerEpoch &&
		r.Token == m.Token &&
		r.Address == m.Address &&
		(r.NoticeS == nil) == (m.NoticeS == nil) &&
		slices.Equal(r.Tasks, m.Tasks)
}

// Update replaces the stored report by a newer one.
func (m *Machine) Update(r protocol.Report, now time.Duration) {
	if r.WorkerEpoch != m.WorkerEpoch || !slices.Equal(r.Tasks, m.Tasks) {
		m.trackTasks(&r, now)
	}
	if r.WorkerEpoch != m.WorkerEpoch {
		m.AnnouncedSeq = 0
	}
	m.Report = r
	switch {
	case r.NoticeS == nil:
		m.ReclaimAt = 0
	case m.ReclaimAt == 0:
		m.ReclaimAt = now + time.Duration(*r.NoticeS*float64(time.Second))
	}
}

// trackTasks updates what is derived from the task list of a new report: what is known of each task, the
// number of exited tasks, the encoded size and the index.
func (m *Machine) trackTasks(r *protocol.Report, now time.Duration) {
	tracked := make([]trackedTask, len(r.Tasks))
	m.ExitedTasks, m.TaskListBytes, m.reappeared = 0, 0, nil
	for i, t := range r.Tasks {
		m.TaskListBytes += protocol.MaxTaskReportBytes(t.Task)
		tracked[i] = m.trackTask(i, t, r)
		switch {
		case t.State == protocol.Exited:
			m.ExitedTasks++
			tracked[i].runningSince = 0
		case t.State != protocol.Running:
			tracked[i].runningSince = 0
		case tracked[i].runningSince == 0:
			tracked[i].runningSince = now
		}
	}
	m.tracked = tracked
	m.positions = positionsOf(r.Tasks)
}

// trackTask returns what is known of the task at a position of a new report.
func (m *Machine) trackTask(position int, t protocol.TaskReport, r *protocol.Report) trackedTask {
	previous := m.index(t.Task, t.Attempt)
	wasGone := previous < 0 || m.Tasks[previous].State == protocol.Exited && t.State != protocol.Exited
	if wasGone && m.hasEnded(attemptKey{t.Task, t.Attempt}) {
		m.reappeared = append(m.reappeared, position)
	}
	if previous >= 0 && r.WorkerEpoch == m.WorkerEpoch {
		return m.tracked[previous]
	}
	return trackedTask{shownUnder: r.Token}
}

// positionsOf returns an index of the tasks of a long report, or nil for a short one. If an attempt
// is listed twice, the first entry counts.
func positionsOf(tasks []protocol.TaskReport) map[attemptKey]int {
	if len(tasks) <= linearSearchLimit {
		return nil
	}
	positions := make(map[attemptKey]int, len(tasks))
	for i, t := range tasks {
		key := attemptKey{t.Task, t.Attempt}
		if _, duplicate := positions[key]; !duplicate {
			positions[key] = i
		}
	}
	return positions
}

// index returns the position of an attempt of a task in the latest report, or -1.
func (m *Machine) index(task string, attempt uint64) int {
	if m.positions != nil {
		if i, ok := m.positions[attemptKey{task, attempt}]; ok {
			return i
		}
		return -1
	}
	return slices.IndexFunc(m.Tasks, func(t protocol.TaskReport) bool {
		return t.Attempt == attempt && t.Task == task
	})
}

// Find returns the entry for an attempt of a task in the latest report.
func (m *Machine) Find(task string, attempt uint64) (protocol.TaskReport, bool) {
	if i := m.index(task, attempt); i >= 0 {
		return m.Tasks[i], true
	}
	return protocol.TaskReport{}, false
}

// RunningTime returns the time since an attempt was first reported as running, or 0 if the latest
// report does not show it as running.
func (m *Machine) RunningTime(task string, attempt uint64, now time.Duration) time.Duration {
	if i := m.index(task, attempt); i >= 0 && m.tracked[i].runningSince > 0 {
		return now - m.tracked[i].runningSince
	}
	return 0
}
