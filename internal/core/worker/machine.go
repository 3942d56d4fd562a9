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
	Node string
	Term uint64
	// HeardSeq is the newest sequence number that its controller has told of, of reports
	// that said nothing new and were not passed on.
	HeardSeq uint64
	// Seen is when the newest sign of life came, Reported when the newest report did.
	Seen, Reported time.Duration
	// NoticeAt is when the cloud takes it away; zero without notice.
	NoticeAt time.Duration
	// IdleSince is when it last lost its last binding.
	IdleSince time.Duration
	// FullAt is when it last turned a start down for want of room.
	FullAt time.Duration
	// Exits counts the exited tasks in the newest report, Bytes is about how long
	// its list of tasks is on the wire.
	Exits  int
	Bytes  int
	images map[string]image
	// Failures counts those of each job on it since any task succeeded.
	Failures map[string]int

	hearing
	// ran is when each task of the report was first seen running.
	ran []time.Duration
	// at finds the tasks of a long report.
	at map[attempt]int
}

// Ran is how long a task has been seen running.
func (m *Machine) Ran(task string, attempt uint64, now time.Duration) time.Duration {
	if i := m.index(task, attempt); i >= 0 && m.ran[i] > 0 {
		return now - m.ran[i]
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
	_, held := m.images[name]
	m.images[name] = image{now, gb}
	for !held {
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

// Outdated tells whether r is a copy of a report that some controller has had, or older.
func (m *Machine) Outdated(r *protocol.Report) bool {
	return !m.Newer(r) || r.Session == m.Session && r.Seq <= m.HeardSeq
}

// Same tells whether a report says the same as the one already held, but for
// its age.
func (m *Machine) Same(r *protocol.Report) bool {
	return r.Session == m.Session && r.Token == m.Token && r.Address == m.Address &&
		(r.NoticeS == nil) == (m.NoticeS == nil) && slices.Equal(r.Tasks, m.Tasks)
}

// Update takes a newer report.
func (m *Machine) Update(r protocol.Report, now time.Duration) {
	if !slices.Equal(r.Tasks, m.Tasks) {
		m.follow(r.Tasks, now)
	}
	if r.Session != m.Session {
		m.HeardSeq = 0
	}
	m.Report = r
	switch {
	case r.NoticeS == nil:
		m.NoticeAt = 0
	case m.NoticeAt == 0:
		m.NoticeAt = now + time.Duration(*r.NoticeS*float64(time.Second))
	}
}

// follow notes since when tasks run and how many have exited.
func (m *Machine) follow(tasks []protocol.TaskReport, now time.Duration) {
	since := make([]time.Duration, len(tasks))
	var at map[attempt]int
	if len(tasks) > shortReport {
		at = make(map[attempt]int, len(tasks))
	}
	m.Exits, m.Bytes = 0, 0
	for i, t := range tasks {
		if _, twice := at[attempt{t.Task, t.Attempt}]; at != nil && !twice {
			at[attempt{t.Task, t.Attempt}] = i
		}
		m.Bytes += protocol.TaskBytes(t.Task)
		switch t.State {
		case protocol.Running:
			since[i] = now
			if at := m.index(t.Task, t.Attempt); at >= 0 && m.ran[at] > 0 {
				since[i] = m.ran[at]
			}
		case protocol.Exited:
			m.Exits++
		}
	}
	m.ran, m.at = since, at
}

// attempt names one attempt of a task.
type attempt struct {
	task string
	n    uint64
}

// shortReport is up to how many tasks are looked through one by one.
const shortReport = 16

// index is the place of a task's attempt in the newest report, or -1.
func (m *Machine) index(task string, n uint64) int {
	if m.at != nil {
		if i, ok := m.at[attempt{task, n}]; ok {
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
