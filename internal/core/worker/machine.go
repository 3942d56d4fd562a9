// Package worker holds what is known of machines and what their reports prove.
package worker

import (
	"time"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// Machine is a machine as the newest report shows it.
type Machine struct {
	protocol.Report
	// Node is the controller that it reports to, Term the one it acts under.
	Node string
	Term uint64
	// Seen is when the newest sign of life came.
	Seen time.Duration
	// NoticeAt is when the cloud takes it away; zero without notice.
	NoticeAt time.Duration
	// IdleSince is when it last lost its last binding.
	IdleSince time.Duration
	// FullAt is when it last turned a start down for want of room.
	FullAt time.Duration
	// Exits counts the exited tasks in the newest report.
	Exits  int
	images map[string]image
	// Errors counts tasks that failed on it since one succeeded.
	Errors int

	tasks map[string]map[uint64]protocol.TaskReport
	since map[taskAttempt]time.Duration
}

type taskAttempt struct {
	task    string
	attempt uint64
}

// Ran is how long a task has been seen running.
func (m *Machine) Ran(task string, attempt uint64, now time.Duration) time.Duration {
	if at, ok := m.since[taskAttempt{task, attempt}]; ok {
		return now - at
	}
	return 0
}

// image is an image that a machine has or fetches.
type image struct {
	used time.Duration
	gb   float64
}

// UseImage notes that a task with this image is on the machine, which keeps the
// most recently used images up to its cache's size.
func (m *Machine) UseImage(name string, gb, cacheGB float64, now time.Duration) {
	if m.images == nil {
		m.images = map[string]image{}
	}
	m.images[name] = image{now, gb}
	for {
		sum, oldest := 0.0, name
		for n, i := range m.images {
			sum += i.gb
			if i.used < m.images[oldest].used {
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

// Newer tells whether r is newer than the report already held.
func (m *Machine) Newer(r *protocol.Report) bool {
	if r.Session != m.Session {
		return r.Session > m.Session
	}
	return r.Seq > m.Seq
}

// Update takes a newer report.
func (m *Machine) Update(r protocol.Report, now time.Duration) {
	m.Report, m.Exits = r, 0
	m.tasks = make(map[string]map[uint64]protocol.TaskReport, len(r.Tasks))
	before := m.since
	m.since = make(map[taskAttempt]time.Duration, len(r.Tasks))
	for _, t := range r.Tasks {
		if key := (taskAttempt{t.Task, t.Attempt}); t.State == protocol.Running {
			m.since[key] = now
			if at, ok := before[key]; ok {
				m.since[key] = at
			}
		}
		if m.tasks[t.Task] == nil {
			m.tasks[t.Task] = map[uint64]protocol.TaskReport{}
		}
		m.tasks[t.Task][t.Attempt] = t
		if t.State == protocol.Exited {
			m.Exits++
		}
	}
	switch {
	case r.NoticeS == nil:
		m.NoticeAt = 0
	case m.NoticeAt == 0:
		m.NoticeAt = now + time.Duration(*r.NoticeS*float64(time.Second))
	}
}

// Find looks a task's attempt up in the newest report.
func (m *Machine) Find(task string, attempt uint64) (protocol.TaskReport, bool) {
	t, ok := m.tasks[task][attempt]
	return t, ok
}

// Verdict is what the newest report of a machine says about a binding.
type Verdict uint8

// Verdicts.
const (
	// Open means that the report proves nothing yet.
	Open Verdict = iota
	// Present means that the task is on the machine.
	Present
	// Ended means that the attempt has exited there.
	Ended
	// Absent proves that the attempt is not there and can never start there.
	Absent
)

// Judge weighs a binding against the newest report of its machine. The start
// was sent under exactly b.Term to session b.Session and at most once, so a
// report without the task that was made under a newer term or by a newer
// session is proof: a start still on its way will be refused by the worker.
func (m *Machine) Judge(task string, b *job.Binding) (Verdict, protocol.TaskReport) {
	if t, ok := m.Find(task, b.Attempt); ok && m.Session == b.Session {
		if t.State == protocol.Exited {
			return Ended, t
		}
		return Present, t
	}
	if m.Session > b.Session || m.Session == b.Session && m.Token > b.Term {
		return Absent, protocol.TaskReport{}
	}
	return Open, protocol.TaskReport{}
}
