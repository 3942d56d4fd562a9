package core

import (
	"time"

	"pepperlever/internal/core/jobstats"
)

// StatisticsReport answers JobStatistics.
type StatisticsReport struct {
	Rows []jobstats.Row
	// LongestUnanswered is the longest time for which no request for the state of some job
	// was answered by this controller.
	LongestUnanswered time.Duration
	// Unacknowledged is how many cancellations some controller is not known to know.
	Unacknowledged int
	// Staleness is for how long a cancellation may have been confirmed that this controller
	// does not know of.
	Staleness time.Duration
	// Pending are the waiting tasks of the teams that this controller leads, Planned those of
	// all teams as this controller plans for them, which all controllers should see alike.
	Pending, Planned PendingTasks
	// UnstoredClaims is how many bindings other controllers have announced that the store does
	// not show yet.
	UnstoredClaims int
	Counters       Counters
}

// Counters are what this controller has done since it started.
type Counters struct {
	// CascadedCancellations is how many jobs were cancelled with one that they await.
	CascadedCancellations int
	// SplitJobs is how many stored jobs were divided into smaller chunks.
	SplitJobs int
	// OversizedTransactions is how many transactions the store called malformed or too large.
	OversizedTransactions int
}

func (c *Core) statisticsReport() StatisticsReport {
	led, planned := c.pendingTasks()
	return StatisticsReport{
		Rows:              c.stats.Rows(c.now.Steady),
		LongestUnanswered: c.stats.LongestUnanswered(),
		Unacknowledged:    c.announcements.unacknowledged(c.peers),
		Staleness:         c.now.Steady - c.freshness.until(),
		Pending:           led,
		Planned:           planned,
		UnstoredClaims:    c.unstoredClaims(),
		Counters:          c.counts,
	}
}

// statisticsInterval is the pause, in report intervals, between two reports in the log.
const statisticsInterval = 15

// logStatistics reports to the operator what has become of jobs. Only the leader of the fleet
// does, whose replica holds them all.
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
