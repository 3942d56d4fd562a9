package core

import (
	"net/http"
	"slices"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// errForeignJob turns down the cancellation of a job that another site has handed to this one.
var errForeignJob = &rejection{http.StatusUnprocessableEntity, "job is of another site: cancel it there"}

// cancel stores the cancellation, and with it the key that no binding or completion of the job
// can pass any more, before it answers. Request 0 is that of the federation adapter.
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

// storeCancel cancels a job that was accepted: it stays so until it has a final
// state, so that it has none is all that the write depends on.
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
		case Applied:
			c.cancelStored(m, r.Revision)
		case Conflict:
			c.cancelConflict(m, r.Failed)
		default:
			c.replyUnavailable(m.Req) // the repeated request finds out what came of it
		}
	})
}

// cancelStored passes on a cancellation that is stored and answers its user.
func (c *Core) cancelStored(m Cancel, revision uint64) {
	c.log(Debug, "job cancelled", "job", m.ID)
	c.announcements.note(Cancellation{Job: m.ID, Revision: revision, RequestedAt: c.now.Wall})
	c.announcements.announce(m.ID)
	c.lookups.request(m.ID, func(result lookup.Result) { c.replyLookup(m.Req, result) })
}

// cancelConflict answers a cancellation that could not be stored: the job has a final state,
// or another site has the right to it.
func (c *Core) cancelConflict(m Cancel, failed []string) {
	if slices.Contains(failed, outgoingKey(m.ID)) {
		c.cancelOutgoing(m)
		return
	}
	c.lookups.request(m.ID, func(result lookup.Result) {
		if result.Outcome == lookup.Active {
			result.Outcome = lookup.Unavailable // the repeated request tells
		}
		c.replyLookup(m.Req, result)
	})
}
