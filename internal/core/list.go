package core

import (
	"maps"
	"net/http"
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// list tells an operator of the jobs that have not ended, from the replica: it may
// lag, and no rule depends on it.
func (c *Core) list(m List) {
	if !c.replica.loaded {
		c.replyUnavailable(m.Req)
		return
	}
	page := protocol.JobList{Jobs: []protocol.JobRow{}}
	awaitsBytes := 0
	for _, id := range slices.Sorted(maps.Keys(c.jobs)) {
		if id <= m.After {
			continue
		}
		j := c.jobs[id]
		awaitsBytes += j.DependencyBytes()
		if pageFull(len(page.Jobs), awaitsBytes) {
			page.More = true
			break
		}
		page.Jobs = append(page.Jobs, c.jobRow(j))
	}
	c.reply(m.Req, http.StatusOK, page)
}

// pageFull tells whether a page of that many jobs takes no further one, with which the names
// of all awaited jobs on it have that many bytes. The first job always fits.
func pageFull(jobs, awaitsBytes int) bool {
	return jobs == protocol.JobsPage || jobs > 0 && awaitsBytes > protocol.PageAwaitsBytes
}

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
