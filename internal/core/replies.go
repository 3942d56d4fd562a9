package core

import (
	"net/http"

	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// retryAfter is the pause in whole seconds that a user is asked for.
const retryAfter = 1

// rejection is the reason for which a request of a user is turned down.
type rejection struct {
	// status is the status code of the answer.
	status int
	reason string
}

// Error returns the reason.
func (r *rejection) Error() string { return r.reason }

// reply answers a request.
func (c *Core) reply(req uint64, status int, body any) {
	c.emit(Answer{Req: req, Status: status, Body: body})
}

// replyRejected turns a request down.
func (c *Core) replyRejected(req uint64, r *rejection) {
	c.reply(req, r.status, protocol.Problem{Error: r.reason})
}

// replyUnavailable answers at once that the node cannot tell now.
func (c *Core) replyUnavailable(req uint64) {
	c.emit(Answer{
		Req:        req,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: retryAfter,
		Body:       protocol.Problem{Error: "try again later"},
	})
}

// errUnknownJob answers a request about a job that was never accepted.
var errUnknownJob = &rejection{http.StatusNotFound, "no such job"}

// replyLookup answers with what was found out about a job.
func (c *Core) replyLookup(req uint64, result lookup.Result) {
	switch result.Outcome {
	case lookup.Active, lookup.Final:
		c.reply(req, http.StatusOK, result.State)
	case lookup.Absent:
		c.replyRejected(req, errUnknownJob)
	default:
		c.replyUnavailable(req)
	}
}

// userTxn and userGet are compareAndSwap and get for requests that a user waits for.
func (c *Core) userTxn(t protocol.Txn, done func(StoreReply)) {
	c.emit(StoreTxn{ID: c.expectReply(done), Txn: t, Quick: true})
}

func (c *Core) userGet(key string, done func(StoreReply)) {
	c.emit(StoreGet{ID: c.expectReply(done), Key: key, Quick: true})
}
