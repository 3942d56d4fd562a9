// Package jobstats counts what has become of jobs, by class and by team, as one controller
// has seen it since it began.
package jobstats

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Row is what has become of the jobs of one class or one team.
type Row struct {
	// Kind is "class" or "team".
	Kind, Name string
	// Accepted counts all jobs, Started those of which a task was seen running.
	Accepted, Started, Done, Cancelled int
	// Largest is the most tasks that a job has, LargestAccepted and LargestStarted count
	// the jobs that have as many.
	Largest, LargestAccepted, LargestStarted int
	// Oldest is for how long the oldest job that has not started has waited.
	Oldest time.Duration
}

// Kinds of rows.
const (
	kindClass = "class"
	kindTeam  = "team"
)

// rowKey names a row.
type rowKey struct{ kind, name string }

// Collector counts jobs.
type Collector struct {
	rows map[rowKey]*Row
	// active holds the jobs that have not ended.
	active map[string]*activeJob
	// unansweredSince is since when no request for the state of a job was answered.
	unansweredSince map[string]time.Duration
	// longestUnanswered is the longest such time, up to a further request.
	longestUnanswered time.Duration
}

// activeJob is a job that has not ended.
type activeJob struct {
	// rows are that of its class and that of its team.
	rows       [2]*Row
	tasks      int
	acceptedAt time.Duration
	started    bool
}

// maxUnanswered bounds the jobs whose unanswered requests are followed.
const maxUnanswered = 8192

// New makes an empty Collector.
func New() *Collector {
	return &Collector{
		rows:            map[rowKey]*Row{},
		active:          map[string]*activeJob{},
		unansweredSince: map[string]time.Duration{},
	}
}

// Accept counts a job, once until it ends.
func (c *Collector) Accept(id, class, team string, tasks int, now time.Duration) {
	if c.active[id] != nil {
		return
	}
	rows := [2]*Row{c.row(kindClass, class), c.row(kindTeam, team)}
	c.active[id] = &activeJob{rows: rows, tasks: tasks, acceptedAt: now}
	for _, row := range rows {
		row.accept(tasks)
	}
}

// accept counts a job of that many tasks.
func (r *Row) accept(tasks int) {
	r.Accepted++
	if tasks > r.Largest {
		r.Largest, r.LargestAccepted, r.LargestStarted = tasks, 0, 0
	}
	if tasks == r.Largest {
		r.LargestAccepted++
	}
}

func (c *Collector) row(kind, name string) *Row {
	key := rowKey{kind, name}
	if c.rows[key] == nil {
		c.rows[key] = &Row{Kind: kind, Name: name}
	}
	return c.rows[key]
}

// Start notes that a task of a job runs.
func (c *Collector) Start(id string) {
	job := c.active[id]
	if job == nil || job.started {
		return
	}
	job.started = true
	for _, row := range job.rows {
		row.Started++
		if job.tasks == row.Largest {
			row.LargestStarted++
		}
	}
}

// End notes that a job is done, or cancelled.
func (c *Collector) End(id string, cancelled bool) {
	job := c.active[id]
	if job == nil {
		return
	}
	delete(c.active, id)
	for _, row := range job.rows {
		if cancelled {
			row.Cancelled++
		} else {
			row.Done++
		}
	}
}

// Retain forgets the active jobs that are not held any more: they ended in a way that was not
// seen, and count as accepted alone.
func (c *Collector) Retain(held func(id string) bool) {
	maps.DeleteFunc(c.active, func(id string, _ *activeJob) bool { return !held(id) })
}

// NoteQuery notes a request for the state of a job.
func (c *Collector) NoteQuery(id string, answered bool, now time.Duration) {
	since, unanswered := c.unansweredSince[id]
	if unanswered {
		c.longestUnanswered = max(c.longestUnanswered, now-since)
	}
	switch {
	case answered:
		delete(c.unansweredSince, id)
	case !unanswered && len(c.unansweredSince) < maxUnanswered:
		c.unansweredSince[id] = now
	}
}

// LongestUnanswered is the longest time for which no request for the state of some job was
// answered here. Another controller may have answered meanwhile.
func (c *Collector) LongestUnanswered() time.Duration { return c.longestUnanswered }

// Rows lists the counts, classes first, by name.
func (c *Collector) Rows(now time.Duration) []Row {
	oldest := c.oldestPending(now)
	rows := make([]Row, 0, len(c.rows))
	for _, row := range c.rows {
		counts := *row
		counts.Oldest = oldest[row]
		rows = append(rows, counts)
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return rows
}

// oldestPending is, by row, for how long the oldest job that has not started has waited.
func (c *Collector) oldestPending(now time.Duration) map[*Row]time.Duration {
	oldest := map[*Row]time.Duration{}
	for _, job := range c.active {
		if job.started {
			continue
		}
		for _, row := range job.rows {
			oldest[row] = max(oldest[row], now-job.acceptedAt)
		}
	}
	return oldest
}
