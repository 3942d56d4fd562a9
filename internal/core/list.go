package core

import (
	"maps"
	"net/http"
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// list responds to a request for the jobs that have not ended. It reads the replica, which may lag
// behind the store: the list only informs operators.
func (c *Core) list(m List) {
	if !c.replica.loaded {
		c.replyUnavailable(m.Req)
		return
	}
	page := protocol.JobList{Jobs: []protocol.JobRow{}}
	dependencyBytes := 0
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if id <= m.After {
			continue
		}
		j := c.jobs[id]
		dependencyBytes += j.DependencyBytes()
		if pageFull(len(page.Jobs), dependencyBytes) {
			page.More = true
			break
		}
		page.Jobs = append(page.Jobs, c.jobRow(j))
	}
	c.reply(m.Req, http.StatusOK, page)
}

// pageFull reports whether another job does not fit on a page that has the given number of jobs.
// dependencyBytes is the total size of the dependency lists on the page, including that of the
// other job. The first job always fits.
func pageFull(jobs, dependencyBytes int) bool {
	return jobs == protocol.MaxJobsPerPage || jobs > 0 && dependencyBytes > protocol.MaxDependencyBytesPerPage
}

// jobRow returns the row of a job in a list.
func (c *Core) jobRow(j *job.Job) protocol.JobRow {
	row := protocol.JobRow{
		JobState: c.jobProgress(j.ID),
		Team:     j.Team,
		Class:    j.Class,
		Priority: protocol.Priorities[j.Priority],
		Tasks:    j.Tasks,
	}
	if j.Cancelled {
		row.State = protocol.Cancelled
	}
	return row
}
