package core

import (
	"time"

	"pepperlever/internal/core/jobstats"
)

// StatisticsReport is the response to JobStatistics.
type StatisticsReport struct {
	Rows []jobstats.Row
	// LongestUnanswered is the longest period during which this controller could not respond to
	// any request for the state of a particular job.
	LongestUnanswered time.Duration
	// Unacknowledged is the number of cancellations that at least one controller may not
	// know of.
	Unacknowledged int
	// Staleness is the maximum age of a confirmed cancellation that this controller may not
	// know of.
	Staleness time.Duration
	// Pending counts the pending tasks of the teams that this controller leads. Planned counts
	// those of all teams in this controller's plan, which should be the same on all controllers.
	Pending, Planned PendingTasks
	// UnstoredClaims is the number of bindings that other controllers have announced and that
	// this controller's replica does not show as stored yet.
	UnstoredClaims int
	Counters       Counters
}

// Counters counts events on this controller since it started.
type Counters struct {
	// CascadedCancellations is the number of jobs cancelled because a dependency was cancelled.
	CascadedCancellations int
	// SplitJobs counts how often the chunks of a stored job were split into smaller ones.
	SplitJobs int
	// OversizedTransactions is the number of transactions that the store rejected as malformed
	// or too large.
	OversizedTransactions int
	// ReappearedTasks is the number of attempts that machines reported although they had ended.
	ReappearedTasks int
	// RaisesToForget is the number of times that a worker's token was raised so that the worker could
	// forget tasks.
	RaisesToForget int
	// OutdatedStarts is the number of starts that were refused because the worker has a newer token than
	// the binding.
	OutdatedStarts int
}

// statisticsReport returns the current statistics of this controller.
func (c *Core) statisticsReport() StatisticsReport {
	led, planned := c.pendingTasks()
	return StatisticsReport{
		Rows:              c.stats.Rows(c.now.Steady),
		LongestUnanswered: c.stats.LongestUnanswered(),
		Unacknowledged:    c.announcements.unacknowledged(c.peers),
		Staleness:         c.now.Steady - c.freshness.cancellationsKnownUntil(),
		Pending:           led,
		Planned:           planned,
		UnstoredClaims:    c.countUnstoredClaims(),
		Counters:          c.counters,
	}
}

// reportIntervalsPerStatistics is the interval at which statistics are logged, in report intervals.
const reportIntervalsPerStatistics = 15

// logStatistics logs the pending tasks and the job statistics. Only the fleet leader does so: the
// replica of every controller holds the jobs of all teams, so one controller is enough.
func (c *Core) logStatistics() {
	report := c.statisticsReport()
	c.log(Info, "pending tasks",
		"dependencies", report.Pending.Dependencies,
		"team_limit", report.Pending.TeamLimit,
		"capacity", report.Pending.Capacity,
		"planned_dependencies", report.Planned.Dependencies,
		"planned_team_limit", report.Planned.TeamLimit,
		"planned_capacity", report.Planned.Capacity,
		"unstored_claims", report.UnstoredClaims)
	for _, row := range report.Rows {
		c.log(Info, "job statistics",
			row.Kind, row.Name,
			"accepted", row.Accepted,
			"started", row.Started,
			"done", row.Done,
			"cancelled", row.Cancelled,
			"largest", row.Largest,
			"largest_accepted", row.LargestAccepted,
			"largest_started", row.LargestStarted,
			"oldest_pending", row.Oldest.Round(time.Second),
			"longest_unanswered", report.LongestUnanswered.Round(time.Second))
	}
}
