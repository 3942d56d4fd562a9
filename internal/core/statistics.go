package core

import (
	"time"

	"pepperlever/internal/core/jobstats"
)

// ServedRows is the answer to Served.
type ServedRows struct {
	Rows []jobstats.Row
	// Unanswered is the longest time for which no question about some job was answered
	// by this controller.
	Unanswered time.Duration
	// Owed is how many cancellations some controller is not known to know, Unsure for how
	// long one may have been confirmed that this controller does not know of.
	Owed   int
	Unsure time.Duration
	Waiting
	Counts
}

func (c *Core) jobStatistics() ServedRows {
	return ServedRows{Rows: c.stats.Rows(c.now.Steady), Unanswered: c.stats.Longest(), Owed: c.unacknowledged(),
		Unsure: c.now.Steady - c.freshUntil(), Waiting: c.waiting(), Counts: c.counts}
}

// tellEvery is the pause, in report intervals, between two accounts in the log.
const tellEvery = 15

// logJobStatistics tells the operator what has become of jobs. One controller does, the
// renter, which mirrors them all.
func (c *Core) logJobStatistics() {
	s := c.jobStatistics()
	c.log(Info, "tasks wait", "for others", s.Awaits, "for their team's limit", s.Limit, "for room", s.Room)
	for _, r := range s.Rows {
		c.log(Info, "served", r.Kind, r.Name, "accepted", r.Accepted, "started", r.Started, "done", r.Done, "cancelled", r.Cancelled,
			"largest", r.Largest, "of these accepted", r.LargestAccepted, "started of these", r.LargestStarted, "oldest waits", r.Oldest.Round(time.Second),
			"longest without an answer", s.Unanswered.Round(time.Second))
	}
}
