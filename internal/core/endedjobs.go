package core

import "pepperlever/internal/protocol"

// maxEndedJobs is the capacity of each cache in endedJobs.
const maxEndedJobs = 8192

// endedJobs caches the final states of jobs, which never change, and the revisions at which the heads
// of ended jobs were deleted. A cache is cleared when it is full: the store has all final states.
type endedJobs struct {
	states    map[string]protocol.JobState
	revisions map[string]uint64
}

func newEndedJobs() endedJobs {
	return endedJobs{states: map[string]protocol.JobState{}, revisions: map[string]uint64{}}
}

// state returns a job's final state, if it is cached.
func (e *endedJobs) state(id string) (state protocol.JobState, known bool) {
	state, known = e.states[id]
	return state, known
}

// has reports whether a job's final state is cached.
func (e *endedJobs) has(id string) bool {
	_, known := e.states[id]
	return known
}

// isDone reports whether a job's cached final state is done.
func (e *endedJobs) isDone(id string) bool { return e.states[id].State == protocol.Done }

// isCancelled reports whether a job's cached final state is cancelled.
func (e *endedJobs) isCancelled(id string) bool { return e.states[id].State == protocol.Cancelled }

// revision returns the revision at which an ended job's head was deleted, or 0 if it is not cached.
func (e *endedJobs) revision(id string) uint64 { return e.revisions[id] }

// remember caches a final state and reports whether it is new.
func (e *endedJobs) remember(id string, state protocol.JobState) bool {
	if e.has(id) {
		return false
	}
	if len(e.states) >= maxEndedJobs {
		clear(e.states)
	}
	e.states[id] = state
	return true
}

// rememberRevision caches the revision at which an ended job's head was deleted.
func (e *endedJobs) rememberRevision(id string, revision uint64) {
	if len(e.revisions) >= maxEndedJobs {
		clear(e.revisions)
	}
	e.revisions[id] = revision
}

// recordEnd records the revision at which an ended job's head was deleted, so that older messages
// about the job are ignored, and stops announcing the job's cancellation.
func (c *Core) recordEnd(id string, revision uint64) {
	c.ended.rememberRevision(id, revision)
	c.announcements.remove(id)
}

// rememberFinalState records a job's final state for users and applies it to the job's dependents.
func (c *Core) rememberFinalState(id string, state protocol.JobState) {
	if !c.ended.remember(id, state) {
		return
	}
	c.stats.End(id, state.State == protocol.Cancelled)
	c.dependencies.onEnded(id, state.State)
}

// hasEnded reports whether a job is known to have ended: its final state is cached, or it is marked
// as cancelled. In the second case hasEnded records the final state.
func (c *Core) hasEnded(id string) bool {
	if j := c.jobs[id]; j != nil && j.Cancelled {
		c.rememberFinalState(id, protocol.JobState{ID: id, State: protocol.Cancelled})
	}
	return c.ended.has(id)
}
