package core

import "pepperlever/internal/protocol"

// endedJobsKept bounds the memory for jobs that have ended.
const endedJobsKept = 8192

// endedJobs remembers jobs that have ended: their final states, which never change, and the
// revisions that ended them. It forgets everything when it is full; the store knows the rest.
type endedJobs struct {
	states    map[string]protocol.JobState
	revisions map[string]uint64
}

func newEndedJobs() endedJobs {
	return endedJobs{states: map[string]protocol.JobState{}, revisions: map[string]uint64{}}
}

// state is a job's final state, if it is remembered.
func (e *endedJobs) state(id string) (state protocol.JobState, known bool) {
	state, known = e.states[id]
	return state, known
}

// has tells whether a job is remembered to have ended.
func (e *endedJobs) has(id string) bool {
	_, known := e.states[id]
	return known
}

// isDone tells whether a job is remembered to have been done.
func (e *endedJobs) isDone(id string) bool { return e.states[id].State == protocol.Done }

// isCancelled tells whether a job is remembered to have been cancelled.
func (e *endedJobs) isCancelled(id string) bool { return e.states[id].State == protocol.Cancelled }

// revision is the one that ended a job, 0 if it is not remembered.
func (e *endedJobs) revision(id string) uint64 { return e.revisions[id] }

// remember keeps a final state, and reports whether it is news.
func (e *endedJobs) remember(id string, state protocol.JobState) bool {
	if e.has(id) {
		return false
	}
	if len(e.states) >= endedJobsKept {
		clear(e.states)
	}
	e.states[id] = state
	return true
}

// noteRevision keeps the revision that ended a job.
func (e *endedJobs) noteRevision(id string, revision uint64) {
	if len(e.revisions) >= endedJobsKept {
		clear(e.revisions)
	}
	e.revisions[id] = revision
}

// noteEnd notes the revision that ended a job, against late news of its life.
func (c *Core) noteEnd(id string, revision uint64) {
	c.ended.noteRevision(id, revision)
	c.announcements.remove(id)
}

// rememberFinalState notes how a job has ended, for users and for the jobs that depend on it.
func (c *Core) rememberFinalState(id string, state protocol.JobState) {
	if !c.ended.remember(id, state) {
		return
	}
	c.stats.End(id, state.State == protocol.Cancelled)
	c.dependencies.onEnded(id, state.State)
}

// hasEnded tells whether a job is known to have ended, by its own final state or by a
// cancellation that is not stored with it yet.
func (c *Core) hasEnded(id string) bool {
	if j := c.jobs[id]; j != nil && j.Cancelled {
		c.rememberFinalState(id, protocol.JobState{ID: id, State: protocol.Cancelled})
	}
	return c.ended.has(id)
}
