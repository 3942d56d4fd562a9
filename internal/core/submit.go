package core

import (
	"net/http"
	"strings"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/federation"
	"pepperlever/internal/protocol"
)

// errReservedID turns down a submission whose ID could be that of a job of another site.
var errReservedID = &rejection{http.StatusBadRequest, "job id is kept for jobs of other sites"}

// submit accepts a job by one conditional write; only then is it accepted.
func (c *Core) submit(m Submit) {
	spec, err := job.Parse(m.Body, c.limits.maxSpecBytes())
	if err != nil {
		c.rejectSubmission(m.Req, job.SubmittedID(m.Body), &rejection{http.StatusBadRequest, err.Error()})
		return
	}
	if c.knowsJob(spec.ID) {
		c.answerRepeated(m.Req, spec.ID)
		return
	}
	t := c.teamBy[spec.Team]
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

// knowsJob tells whether the replica holds a job, or its final state.
func (c *Core) knowsJob(id string) bool {
	ended := c.ended.has(id)
	return ended || c.jobs[id] != nil
}

// isForeign tells whether an ID is one of those that jobs of other sites get here.
func (c *Core) isForeign(id string) bool {
	return c.federation != nil && strings.HasPrefix(id, federation.LocalIDPrefix)
}

// rejectSubmission turns a submission down, unless the job was accepted earlier: the settings,
// the catalog or the checks of a description may have changed since, and an accepted job is
// never refused. One without a job ID can't have been accepted.
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

// answerRepeated answers a submission of a known job with its current state.
func (c *Core) answerRepeated(req uint64, id string) {
	c.lookups.request(id, func(result lookup.Result) {
		if result.Outcome == lookup.Absent {
			// Its acceptance is on its way, or was never carried out.
			result.Outcome = lookup.Unavailable
		}
		c.replyLookup(req, result)
	})
}

// accept stores a job, and answers its user once that is done.
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
		case Applied:
			c.logAccepted(t, spec)
			c.broadcastAccepted(protocol.KeyValue{Key: key, Value: head, Version: r.Revision})
			c.reply(req, http.StatusCreated, protocol.JobState{ID: spec.ID, State: protocol.Queued})
		case Conflict:
			c.answerRepeated(req, spec.ID)
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

// broadcastAccepted tells every controller of an accepted job at once, ahead of the watch: the
// leader of its team starts it, and any other may be asked to accept a job that awaits it a
// moment later.
func (c *Core) broadcastAccepted(item protocol.KeyValue) {
	c.onPut(item)
	c.broadcast(PeerMessage{Accepted: &item})
}
