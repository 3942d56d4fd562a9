package core

import (
	"net/http"
	"strings"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// errReservedID rejects a submission whose ID is reserved for jobs handed off by other sites.
var errReservedID = &rejection{http.StatusBadRequest, "job id is kept for jobs of other sites"}

// submit handles the submission of a job. The job is accepted once a single conditional write
// has stored it.
func (c *Core) submit(m Submit) {
	spec, err := job.Parse(m.Body, c.limits.maxSpecBytes())
	if err != nil {
		c.rejectSubmission(m.Req, job.SubmittedID(m.Body), &rejection{http.StatusBadRequest, err.Error()})
		return
	}
	if c.knowsJob(spec.ID) {
		c.replyToDuplicate(m.Req, spec.ID)
		return
	}
	t := c.teamsByName[spec.Team]
	catalogMissing := t != nil && !c.catalog.Loaded()
	if catalogMissing || !c.replica.loaded || !c.storeOK {
		c.replyUnavailable(m.Req)
		return
	}
	if c.isForeign(spec.ID) {
		c.replyRejected(m.Req, errReservedID)
		return
	}
	if r := c.submissionCheck().reject(t, spec); r != nil && (t == nil || !c.federation.canRunElsewhere(spec)) {
		c.rejectSubmission(m.Req, spec.ID, r)
		return
	}
	if len(spec.Dependencies) > 0 {
		c.submitDependent(m.Req, t, spec)
		return
	}
	c.accept(m.Req, t, spec)
}

// knowsJob reports whether this node holds a job or its final state.
func (c *Core) knowsJob(id string) bool {
	ended := c.ended.has(id)
	return ended || c.jobs[id] != nil
}

// isForeign reports whether a job ID belongs to a job that another site has handed off to this one.
func (c *Core) isForeign(id string) bool {
	return c.federation != nil && strings.HasPrefix(id, federation.LocalIDPrefix)
}

// rejectSubmission rejects a submission unless the job was accepted earlier: the settings, the
// catalog or the validation rules may have changed since, and an accepted job is never rejected.
// A submission without a job ID cannot have been accepted.
func (c *Core) rejectSubmission(req uint64, id string, r *rejection) {
	if id == "" {
		c.replyRejected(req, r)
		return
	}
	c.lookups.request(id, func(result lookup.Result) {
		if result.Outcome == lookup.Absent {
			c.replyRejected(req, r)
			return
		}
		c.replyLookup(req, result)
	})
}

// replyToDuplicate responds to the submission of a job that exists already with its current state.
func (c *Core) replyToDuplicate(req uint64, id string) {
	c.lookups.request(id, func(result lookup.Result) {
		if result.Outcome == lookup.Absent {
			// The write that accepts the job is still in flight, or was never carried
			// out.
			result.Outcome = lookup.Unavailable
		}
		c.replyLookup(req, result)
	})
}

// accept stores a job and responds to the user once the store has replied.
func (c *Core) accept(req uint64, t *team, spec *job.Spec) {
	spec.Accepted = c.now.Wall
	head := c.chunks.newJob(*spec).Head()
	key := jobKey(spec.ID)
	txn := protocol.Txn{
		If:   []protocol.Condition{{Key: keyState + spec.ID}, {Key: key}},
		Then: []protocol.Change{{Put: key, Value: head}},
	}
	c.userTxn(txn, func(r StoreReply) {
		switch r.Outcome {
		case OutcomeApplied:
			c.logAccepted(t, spec)
			c.broadcastAccepted(protocol.KeyValue{Key: key, Value: head, Version: r.Revision})
			c.reply(req, http.StatusCreated, protocol.JobState{ID: spec.ID, State: protocol.Queued})
		case OutcomeConflict:
			c.replyToDuplicate(req, spec.ID)
		default:
			c.replyUnavailable(req)
		}
	})
}

func (c *Core) logAccepted(t *team, spec *job.Spec) {
	c.log(Debug, "job accepted",
		"job", spec.ID,
		"team", t.Name,
		"class", spec.Class,
		"tasks", spec.Tasks,
		"cpus", spec.Need.CPUs,
		"memory", spec.Need.MemoryGB,
		"estimate", spec.EstimateS,
		"awaits", spec.Dependencies)
}

// broadcastAccepted announces an accepted job to every controller immediately instead of leaving it
// to their watches: the team's leader starts it, and any other may receive a submission that
// depends on it a moment later.
func (c *Core) broadcastAccepted(item protocol.KeyValue) {
	c.applyAccepted(item)
	c.broadcast(PeerMessage{Accepted: &item})
}

// applyAccepted applies the head of an accepted job ahead of the watch. If the replica reflects the
// acceptance already, it holds the job, or the job has ended and must not be restored.
func (c *Core) applyAccepted(item protocol.KeyValue) {
	if !c.replica.reflects(item.Version) {
		c.onPut(item)
	}
}
