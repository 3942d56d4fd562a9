// Package jobstats counts what has become of jobs, by class and by team, as one controller
// has seen it since it began.
package jobstats

import (
	"cmp"
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

// Tally counts jobs.
type Tally struct {
	rows map[[2]string]*Row
	open map[string]*entry
	// silent is since when no question about a job was answered, longest the longest such
	// time, up to a further question.
	silent  map[string]time.Duration
	longest time.Duration
}

type entry struct {
	rows    [2]*Row
	tasks   int
	at      time.Duration
	started bool
}

// silentKept bounds the jobs whose questions are followed.
const silentKept = 8192

// New makes an empty tally.
func New() *Tally {
	return &Tally{rows: map[[2]string]*Row{}, open: map[string]*entry{}, silent: map[string]time.Duration{}}
}

// Accept counts a job, once until it ends.
func (t *Tally) Accept(id, class, team string, tasks int, now time.Duration) {
	if t.open[id] != nil {
		return
	}
	e := &entry{rows: [2]*Row{t.row("class", class), t.row("team", team)}, tasks: tasks, at: now}
	t.open[id] = e
	for _, r := range e.rows {
		r.Accepted++
		if tasks > r.Largest {
			r.Largest, r.LargestAccepted, r.LargestStarted = tasks, 0, 0
		}
		if tasks == r.Largest {
			r.LargestAccepted++
		}
	}
}

func (t *Tally) row(kind, name string) *Row {
	key := [2]string{kind, name}
	if t.rows[key] == nil {
		t.rows[key] = &Row{Kind: kind, Name: name}
	}
	return t.rows[key]
}

// Start notes that a task of a job runs.
func (t *Tally) Start(id string) {
	e := t.open[id]
	if e == nil || e.started {
		return
	}
	e.started = true
	for _, r := range e.rows {
		r.Started++
		if e.tasks == r.Largest {
			r.LargestStarted++
		}
	}
}

// End notes that a job is done, or cancelled.
func (t *Tally) End(id string, cancelled bool) {
	e := t.open[id]
	if e == nil {
		return
	}
	delete(t.open, id)
	for _, r := range e.rows {
		if cancelled {
			r.Cancelled++
		} else {
			r.Done++
		}
	}
}

// Asked notes a question about a job.
func (t *Tally) Asked(id string, answered bool, now time.Duration) {
	since, silent := t.silent[id]
	if silent {
		t.longest = max(t.longest, now-since)
	}
	switch {
	case answered:
		delete(t.silent, id)
	case !silent && len(t.silent) < silentKept:
		t.silent[id] = now
	}
}

// Longest is the longest time for which no question about some job was answered here.
// Another controller may have answered meanwhile.
func (t *Tally) Longest() time.Duration { return t.longest }

// Rows lists the counts, classes first, by name.
func (t *Tally) Rows(now time.Duration) []Row {
	oldest := map[*Row]time.Duration{}
	for _, e := range t.open {
		if !e.started {
			for _, r := range e.rows {
				oldest[r] = max(oldest[r], now-e.at)
			}
		}
	}
	out := make([]Row, 0, len(t.rows))
	for _, r := range t.rows {
		row := *r
		row.Oldest = oldest[r]
		out = append(out, row)
	}
	slices.SortFunc(out, func(a, b Row) int { return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name)) })
	return out
}
