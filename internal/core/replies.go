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
func (e *environment) reply(req uint64, status int, body any) {
	e.emit(Answer{Req: req, Status: status, Body: body})
}

// replyRejected turns a request down.
func (e *environment) replyRejected(req uint64, r *rejection) {
	e.reply(req, r.status, protocol.Problem{Error: r.reason})
}

// replyUnavailable answers at once that the node cannot tell now.
func (e *environment) replyUnavailable(req uint64) {
	e.emit(Answer{
		Req:        req,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: retryAfter,
		Body:       protocol.Problem{Error: "try again later"},
	})
}

// errUnknownJob answers a request about a job that was never accepted.
var errUnknownJob = &rejection{http.StatusNotFound, "no such job"}

// replyLookup answers with what was found out about a job.
func (e *environment) replyLookup(req uint64, result lookup.Result) {
	switch result.Outcome {
	case lookup.Active, lookup.Final:
		e.reply(req, http.StatusOK, result.State)
	case lookup.Absent:
		e.replyRejected(req, errUnknownJob)
	default:
		e.replyUnavailable(req)
	}
}

// userTxn and userGet are compareAndSwap and get for requests that a user waits for.
func (e *environment) userTxn(t protocol.Txn, done func(StoreReply)) {
	e.emit(StoreTxn{ID: e.expectReply(done), Txn: t, Quick: true})
}

func (e *environment) userGet(key string, done func(StoreReply)) {
	e.emit(StoreGet{ID: e.expectReply(done), Key: key, Quick: true})
}
