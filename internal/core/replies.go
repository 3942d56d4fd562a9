package core

import (
	"net/http"

	"pepperlever/internal/core/lookup"
	"pepperlever/internal/protocol"
)

// retryAfterSeconds is the Retry-After value of responses that ask users to try again.
const retryAfterSeconds = 1

// rejection is the error with which a user's request is rejected.
type rejection struct {
	// status is the HTTP status code of the response.
	status int
	reason string
}

// Error returns the reason of the rejection.
func (r *rejection) Error() string { return r.reason }

// reply responds to a request with a status code and a body.
func (e *environment) reply(req uint64, status int, body any) {
	e.emit(Answer{Req: req, Status: status, Body: body})
}

// replyRejected responds to a request with a rejection.
func (e *environment) replyRejected(req uint64, r *rejection) {
	e.reply(req, r.status, protocol.Problem{Error: r.reason})
}

// replyUnavailable asks the user to retry later, since this node cannot handle the request now.
func (e *environment) replyUnavailable(req uint64) {
	e.emit(Answer{
		Req:        req,
		Status:     http.StatusServiceUnavailable,
		RetryAfter: retryAfterSeconds,
		Body:       protocol.Problem{Error: "try again later"},
	})
}

// errUnknownJob rejects a request for a job that was never accepted.
var errUnknownJob = &rejection{http.StatusNotFound, "no such job"}

// replyLookup responds to a request with the result of a job lookup.
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

// userTxn is compareAndSwap for requests that a user waits for: it fails early instead of being
// retried for long.
func (e *environment) userTxn(t protocol.Txn, done func(StoreReply)) {
	e.emit(StoreTxn{ID: e.expectReply(done), Txn: t, FailFast: true})
}

// userGet is get for requests that a user waits for.
func (e *environment) userGet(key string, done func(StoreReply)) {
	e.emit(StoreGet{ID: e.expectReply(done), Key: key, FailFast: true})
}
