// Package worker holds what is known of machines and what the reports of their agents prove.
package worker

import (
	"slices"
	"time"

	"pepperlever/internal/protocol"
)

// Machine is a machine as the newest report shows it.
type Machine struct {
	protocol.Report
	// Node is the controller that it reports to.
	Node string
	// GrantedToken is the fencing token that its controller has given it. That of the report
	// is the one that it had seen by then.
	GrantedToken uint64
	// AnnouncedSeq is the newest sequence number that its controller has named, of reports
	// that said nothing new and were not passed on.
	AnnouncedSeq uint64
	// LastContact is when the newest sign of life came: a report or a reply to a direct call.
	LastContact time.Duration
	// LastReport is when the newest report came.
	LastReport time.Duration
	// ReclaimAt is when the cloud takes it away; zero without notice.
	ReclaimAt time.Duration
	// IdleSince is when it last lost its last binding.
	IdleSince time.Duration
	// FullAt is when it last turned a start down for want of room.
	FullAt time.Duration
	// ExitedTasks counts the exited tasks in the newest report.
	ExitedTasks int
	// TaskListBytes is about how long the list of tasks in the newest report is on the wire.
	TaskListBytes int

	images   imageCache
	answers  answerTracker
	failures map[string]int
	// runningSince is when each task of the report was first seen running.
	runningSince []time.Duration
	// positions finds the tasks of a long report.
	positions map[attemptKey]int
}

// attemptKey names one attempt of a task.
type attemptKey struct {
	task    string
	attempt uint64
}

// linearSearchLimit is the number of tasks up to which a report is searched without an index.
const linearSearchLimit = 16

// IsNewer tells whether a report is newer than the one already held.
func (m *Machine) IsNewer(r *protocol.Report) bool {
	if r.Session != m.Session {
		return r.Session > m.Session
	}
	return r.Seq > m.Seq
}

// IsOutdated tells whether r is a copy of a report that some controller has had, or older.
func (m *Machine) IsOutdated(r *protocol.Report) bool {
	return !m.IsNewer(r) || r.Session == m.Session && r.Seq <= m.AnnouncedSeq
}

// HasSameContent tells whether a report says the same as the one already held, but for its age.
func (m *Machine) HasSameContent(r *protocol.Report) bool {
	return r.Session == m.Session &&
		r.Token == m.Token &&
		r.Address == m.Address &&
		(r.NoticeS == nil) == (m.NoticeS == nil) &&
		slices.Equal(r.Tasks, m.Tasks)
}

// Update takes a newer report.
func (m *Machine) Update(r protocol.Report, now time.Duration) {
	if !slices.Equal(r.Tasks, m.Tasks) {
		m.trackTasks(r.Tasks, now)
	}
	if r.Session != m.Session {
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

// trackTasks notes since when the tasks of a newer report run, and how many have exited.
func (m *Machine) trackTasks(tasks []protocol.TaskReport, now time.Duration) {
	runningSince := make([]time.Duration, len(tasks))
	m.ExitedTasks, m.TaskListBytes = 0, 0
	for i, t := range tasks {
		m.TaskListBytes += protocol.TaskBytes(t.Task)
		switch t.State {
		case protocol.Running:
			runningSince[i] = now
			if before := m.index(t.Task, t.Attempt); before >= 0 && m.runningSince[before] > 0 {
				runningSince[i] = m.runningSince[before]
			}
		case protocol.Exited:
			m.ExitedTasks++
		}
	}
	m.runningSince = runningSince
	m.positions = positionsOf(tasks)
}

// positionsOf indexes the tasks of a long report; it is nil for a short one. Of an attempt
// that is reported twice the first counts.
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

// index is the position of a task's attempt in the newest report, or -1.
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

// Find looks a task's attempt up in the newest report.
func (m *Machine) Find(task string, attempt uint64) (protocol.TaskReport, bool) {
	if i := m.index(task, attempt); i >= 0 {
		return m.Tasks[i], true
	}
	return protocol.TaskReport{}, false
}

// RunningTime is how long a task has been seen running.
func (m *Machine) RunningTime(task string, attempt uint64, now time.Duration) time.Duration {
	if i := m.index(task, attempt); i >= 0 && m.runningSince[i] > 0 {
		return now - m.runningSince[i]
	}
	return 0
}
