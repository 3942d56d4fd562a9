package core

import (
	"net/http"
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// errForeignJob rejects the cancellation of a job that another site has handed off to this one.
var errForeignJob = &rejection{http.StatusUnprocessableEntity, "job was handed off by another site: cancel it there"}

// cancel handles a request to cancel a job. It stores the cancellation together with the job's
// final state before it answers. Once the cancellation's key is stored, every write of a new binding
// or of the final state "done" fails. The federation adapter calls cancel with request ID 0.
func (c *Core) cancel(m Cancel) {
	if !job.ValidID(m.ID) {
		c.replyRejected(m.Req, errUnknownJob)
		return
	}
	if m.Req != 0 && c.isForeign(m.ID) {
		c.replyRejected(m.Req, errForeignJob)
		return
	}
	if c.jobs[m.ID] != nil && c.storeOK {
		c.storeCancel(m)
		return
	}
	c.lookups.request(m.ID, func(result lookup.Result) {
		if result.Outcome == lookup.Active {
			c.storeCancel(m)
			return
		}
		c.replyLookup(m.Req, result)
	})
}

// storeCancel stores the cancellation of an accepted job, or forwards it if the job is handed off.
// The write does not check that the job exists: an accepted job exists until it has a final state, and
// the absence of a final state is a condition of the write.
func (c *Core) storeCancel(m Cancel) {
	if c.isOutgoing(m.ID) {
		c.cancelOutgoing(m)
		return
	}
	state := keyState + m.ID
	txn := protocol.Txn{
		If: append([]protocol.Condition{{Key: state}}, c.notHandedOff(m.ID)...),
		Then: []protocol.Change{
			putJSON(state, finalStateRecord{State: protocol.Cancelled}),
			putJSON(cancelKey(m.ID), cancelRecord{RequestedAt: c.now.Wall}),
		},
	}
	c.userTxn(txn, func(r StoreReply) {
		switch r.Outcome {
		case OutcomeApplied:
			c.handleCancelStored(m, r.Revision)
		case OutcomeConflict:
			c.handleCancelConflict(m, r.Failed)
		default:
			c.replyUnavailable(m.Req) // a retry finds out whether the write was applied
		}
	})
}

// handleCancelStored announces a stored cancellation to the other controllers and answers the user.
func (c *Core) handleCancelStored(m Cancel, revision uint64) {
	c.log(Debug, "job cancelled", "job", m.ID)
	c.announcements.apply(Cancellation{Job: m.ID, Revision: revision, RequestedAt: c.now.Wall})
	c.announcements.announce(m.ID)
	c.lookups.request(m.ID, func(result lookup.Result) { c.replyLookup(m.Req, result) })
}

// handleCancelConflict answers a cancellation that could not be stored because the job has a final
// state or has been handed off to another site.
func (c *Core) handleCancelConflict(m Cancel, failed []string) {
	if slices.Contains(failed, outgoingKey(m.ID)) {
		c.cancelOutgoing(m)
		return
	}
	c.lookups.request(m.ID, func(result lookup.Result) {
		if result.Outcome == lookup.Active {
			result.Outcome = lookup.Unavailable // a retry gets the final state
		}
		c.replyLookup(m.Req, result)
	})
}
