// Package worker holds what is known of machines and what their reports prove.
package worker

import (
	"slices"
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// Machine is a machine as the newest report shows it.
type Machine struct {
	protocol.Report
	// Node is the controller that it reports to, Term the one it acts under.
	Node         string
	GrantedToken uint64
	// AnnouncedSeq is the newest sequence number that its controller has told of, of reports
	// that said nothing new and were not passed on.
	AnnouncedSeq uint64
	// LastContact is when the newest sign of life came, Reported when the newest report did.
	LastContact, LastReport time.Duration
	// ReclaimAt is when the cloud takes it away; zero without notice.
	ReclaimAt time.Duration
	// IdleSince is when it last lost its last binding.
	IdleSince time.Duration
	// FullAt is when it last turned a start down for want of room.
	FullAt time.Duration
	// ExitedTasks counts the exited tasks in the newest report, Bytes is about how long
	// its list of tasks is on the wire.
	ExitedTasks   int
	TaskListBytes int
	images        map[string]image
	// FailuresByJob counts those of each job on it since any task succeeded.
	FailuresByJob map[string]int

	acknowledgements
	// runningSince is when each task of the report was first seen running.
	runningSince []time.Duration
	// positions finds the tasks of a long report.
	positions map[attemptKey]int
}

// RunningTime is how long a task has been seen running.
func (m *Machine) RunningTime(task string, attempt uint64, now time.Duration) time.Duration {
	if i := m.index(task, attempt); i >= 0 && m.runningSince[i] > 0 {
		return now - m.runningSince[i]
	}
	return 0
}

// image is an image that a machine has or fetches.
type image struct {
	usedAt time.Duration
	sizeGB float64
}

// UseImage notes that a task with this image is on the machine, which keeps the
// most recently used images up to its cache's size.
func (m *Machine) UseImage(name string, gb, cacheGB float64, now time.Duration) {
	if m.images == nil {
		m.images = map[string]image{}
	}
	_, held := m.images[name]
	m.images[name] = image{now, gb}
	for !held {
		sum, oldest := 0.0, name
		for n, i := range m.images {
			sum += i.sizeGB
			if i.usedAt < m.images[oldest].usedAt {
				oldest = n
			}
		}
		if sum <= cacheGB || oldest == name {
			return
		}
		delete(m.images, oldest)
	}
}

// HasImage tells whether a machine has or fetches an image.
func (m *Machine) HasImage(name string) bool {
	_, ok := m.images[name]
	return ok
}

// IsNewer tells whether r is newer than the report already held.
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

// HasSameContent tells whether a report says the same as the one already held, but for
// its age.
func (m *Machine) HasSameContent(r *protocol.Report) bool {
	return r.Session == m.Session && r.Token == m.Token && r.Address == m.Address &&
		(r.NoticeS == nil) == (m.NoticeS == nil) && slices.Equal(r.Tasks, m.Tasks)
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

// trackTasks notes since when tasks run and how many have exited.
func (m *Machine) trackTasks(tasks []protocol.TaskReport, now time.Duration) {
	since := make([]time.Duration, len(tasks))
	var at map[attemptKey]int
	if len(tasks) > linearSearchLimit {
		at = make(map[attemptKey]int, len(tasks))
	}
	m.ExitedTasks, m.TaskListBytes = 0, 0
	for i, t := range tasks {
		if _, twice := at[attemptKey{t.Task, t.Attempt}]; at != nil && !twice {
			at[attemptKey{t.Task, t.Attempt}] = i
		}
		m.TaskListBytes += protocol.TaskBytes(t.Task)
		switch t.State {
		case protocol.Running:
			since[i] = now
			if at := m.index(t.Task, t.Attempt); at >= 0 && m.runningSince[at] > 0 {
				since[i] = m.runningSince[at]
			}
		case protocol.Exited:
			m.ExitedTasks++
		}
	}
	m.runningSince, m.positions = since, at
}

// attemptKey names one attempt of a task.
type attemptKey struct {
	task   string
	number uint64
}

// linearSearchLimit is up to how many tasks are looked through one by one.
const linearSearchLimit = 16

// index is the place of a task's attempt in the newest report, or -1.
func (m *Machine) index(task string, n uint64) int {
	if m.positions != nil {
		if i, ok := m.positions[attemptKey{task, n}]; ok {
			return i
		}
		return -1
	}
	return slices.IndexFunc(m.Tasks, func(t protocol.TaskReport) bool {
		return t.Attempt == n && t.Task == task
	})
}

// Find looks a task's attempt up in the newest report.
func (m *Machine) Find(task string, attempt uint64) (protocol.TaskReport, bool) {
	if i := m.index(task, attempt); i >= 0 {
		return m.Tasks[i], true
	}
	return protocol.TaskReport{}, false
}

// Evidence is what the newest report of a machine says about a binding.
type Evidence uint8

// Verdicts.
const (
	// Inconclusive means that the report proves nothing yet.
	Inconclusive Evidence = iota
	// Present means that the task is on the machine.
	Present
	// Exited means that the attempt has exited there.
	Exited
	// Absent proves that the attempt is not there and can never start there.
	Absent
)

// Evidence weighs a binding against the newest report of its machine. The start
// was sent under exactly b.Term to session b.Session and at most once, so a
// report without the task that was made under a newer term or by a newer
// session is proof: a start still on its way will be refused by the worker.
func (m *Machine) Evidence(task string, b *job.Binding) (Evidence, protocol.TaskReport) {
	if t, ok := m.Find(task, b.Attempt); ok && m.Session == b.Session {
		if t.State == protocol.Exited {
			return Exited, t
		}
		return Present, t
	}
	if m.Session > b.Session || m.Session == b.Session && m.Token > b.Term {
		return Absent, protocol.TaskReport{}
	}
	return Inconclusive, protocol.TaskReport{}
}
