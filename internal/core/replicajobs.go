package core

import (
	"strings"

	"pepperlever/internal/core/job"
	"pepperlever/internal/protocol"
)

// onJobPut applies a head or chunk of a job that another controller or an earlier leader stored.
func (c *Core) onJobPut(item protocol.KeyValue) error {
	id, chunk, ok := parseJobKey(item.Key)
	switch {
	case !ok:
		return nil
	case chunk == firstChunk:
		return c.onHeadPut(id, item)
	}
	return c.onChunkPut(id, chunk, item)
}

// onHeadPut applies the head of a job, which includes its first chunk.
func (c *Core) onHeadPut(id string, item protocol.KeyValue) error {
	j := c.jobs[id]
	known := j != nil
	if known && (c.leads(j) || j.Version >= item.Version) {
		return nil
	}
	if c.ended.revision(id) > item.Version {
		return nil // a stale event or a delayed acceptance message of a job that has ended since
	}
	if !known {
		j = job.New(job.Spec{ID: id}, c.limits.defaultChunkSize(), c.now.Steady)
	}
	attempt := j.Attempt
	if err := j.LoadHead(item.Value); err != nil {
		return err
	}
	if j.Attempt > attempt {
		j.PendingSince = c.now.Steady // its leader has bound some tasks
	}
	t := c.teamsByName[j.Team]
	if t == nil {
		return nil
	}
	j.Version = item.Version
	if !known {
		c.addJob(t, j)
		if c.cancelled(id) {
			// A superseded leader drops its jobs and reads them again. A job that was
			// cancelled before that must not be counted as done when it ends.
			defer c.markCancelled(j)
		}
		if err := c.replica.loadPendingChunks(j); err != nil {
			return err
		}
	}
	c.dependencies.track(j)
	c.requestRound()
	return nil
}

// onChunkPut applies a chunk of a job that is stored under its own key. It may arrive before the
// head, because the items of a snapshot are ordered by key and events by revision.
func (c *Core) onChunkPut(id string, chunk job.ChunkKey, item protocol.KeyValue) error {
	j := c.jobs[id]
	switch {
	case j == nil:
		c.replica.bufferChunk(id, chunk, item)
		return nil
	case c.leads(j):
		return nil
	}
	return j.LoadChunk(chunk, item.Value)
}

// onHeadDelete drops a job whose head is no longer stored. A leader drops the jobs of its team
// itself, except for those that were handed off.
func (c *Core) onHeadDelete(key string, revision uint64) {
	id, chunk, ok := parseJobKey(key)
	j := c.jobs[id]
	if !ok || chunk != firstChunk || j == nil || j.Version >= revision {
		return
	}
	if !c.leads(j) || c.isOutgoing(id) {
		c.forgetJob(j)
	}
}

// onJobDelete records the end of a job whose head was deleted: because the job is done, or because
// it was cancelled and none of its tasks is left. Events arrive in order, so a cancellation is
// known by then.
func (c *Core) onJobDelete(key string, revision uint64) {
	if !strings.HasPrefix(key, keyJob) {
		return
	}
	id, chunk, ok := parseJobKey(key)
	if !ok || chunk != firstChunk {
		return
	}
	if j := c.jobs[id]; j != nil && !j.Cancelled && j.Version < revision {
		state := finalStateAtDeletion(j)
		c.log(Debug, "final state derived from the deletion of a job",
			"job", id,
			"state", state.State,
			"version", j.Version,
			"deleted_at", revision)
		c.rememberFinalState(id, state)
	}
	c.recordEnd(id, revision)
}

// finalStateAtDeletion returns the final state of a job whose head was deleted while this node knew
// of no cancellation. A job that was still blocked on dependencies was never bound, so it can't be
// done: it was cancelled, and its leader knew of that before this node did.
func finalStateAtDeletion(j *job.Job) protocol.JobState {
	if j.Blocked {
		return protocol.JobState{ID: j.ID, State: protocol.Cancelled}
	}
	return protocol.JobState{ID: j.ID, State: protocol.Done, Done: j.Tasks}
}

// addJob adds a job to the replica and to every component that tracks jobs.
func (c *Core) addJob(t *team, j *job.Job) {
	c.jobs[j.ID] = j
	t.jobs[j.ID] = j
	c.stats.Accept(j.ID, j.Class, j.Team, j.Tasks, c.now.Steady)
	c.machines.TrackBindings(j)
	c.requestRound()
}

// forgetJob removes a job from the replica and from every component that tracks jobs.
func (c *Core) forgetJob(j *job.Job) {
	delete(c.jobs, j.ID)
	c.machines.UntrackBindings(j)
	c.dependencies.RemoveDependencies(j.ID)
	if t := c.teamsByName[j.Team]; t != nil {
		delete(t.jobs, j.ID)
	}
	c.requestRound()
}
