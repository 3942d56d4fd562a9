// Package jobstats counts accepted, started and ended jobs by class and by team, as observed by one
// controller since it started.
package jobstats

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Row holds the counts for the jobs of one class or one team.
type Row struct {
	// Kind is "class" or "team".
	Kind, Name string
	// Accepted counts all jobs, and Started those with a task that was observed running.
	Accepted, Started, Done, Cancelled int
	// Largest is the highest number of tasks of any job. LargestAccepted and LargestStarted
	// count the jobs with that number of tasks.
	Largest, LargestAccepted, LargestStarted int
	// Oldest is how long the oldest job that has not started has been waiting.
	Oldest time.Duration
}

// Values of Row.Kind.
const (
	kindClass = "class"
	kindTeam  = "team"
)

// rowKey identifies a row.
type rowKey struct{ kind, name string }

// Collector counts jobs and measures how long requests for their states go unanswered.
type Collector struct {
	rows map[rowKey]*Row
	// active holds the jobs that have not ended.
	active map[string]*activeJob
	// unansweredSince holds, by job ID, the time of the first unanswered request for the job's
	// state since the last answered one.
	unansweredSince map[string]time.Duration
	// longestUnanswered is the longest time from such a request to a later request for the same
	// job.
	longestUnanswered time.Duration
}

// activeJob is a job that has not ended.
type activeJob struct {
	// rows are the rows of the job's class and team.
	rows       [2]*Row
	tasks      int
	acceptedAt time.Duration
	started    bool
}

// maxUnanswered bounds the number of jobs whose unanswered requests are tracked.
const maxUnanswered = 8192

// New returns an empty Collector.
func New() *Collector {
	return &Collector{
		rows:            map[rowKey]*Row{},
		active:          map[string]*activeJob{},
		unansweredSince: map[string]time.Duration{},
	}
}

// Accept counts a job as accepted. Repeated calls for an active job have no effect.
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

// accept counts an accepted job with the given number of tasks.
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

// Start counts a job as started when one of its tasks is observed running.
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

// End counts an active job as done or cancelled.
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

// RetainActive removes the active jobs for which isActive returns false. Their ends were not
// observed, so they are counted as neither done nor cancelled.
func (c *Collector) RetainActive(isActive func(id string) bool) {
	maps.DeleteFunc(c.active, func(id string, _ *activeJob) bool { return !isActive(id) })
}

// RecordQuery records a request for the state of a job and whether it was answered.
func (c *Collector) RecordQuery(id string, answered bool, now time.Duration) {
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

// LongestUnanswered returns the longest time for which this controller answered no request for the
// state of a job. Another controller may have answered in the meantime.
func (c *Collector) LongestUnanswered() time.Duration { return c.longestUnanswered }

// Rows returns the rows of all classes, then those of all teams, each sorted by name.
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

// oldestPending returns, by row, how long the oldest job that has not started has been waiting.
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
