package core

import (
	"time"

	"pepperlever/internal/protocol"
)

// sequence generates numbers that are unique within one run of a controller.
type sequence struct{ last uint64 }

func (s *sequence) next() uint64 {
	s.last++
	return s.last
}

// pendingReplies holds the store requests that have no reply yet, by request ID.
type pendingReplies map[uint64]pendingRequest

// pendingRequest is a store request that has no reply yet, with the function that handles the reply.
type pendingRequest struct {
	sentAt time.Duration
	handle func(StoreReply)
}

// take removes and returns the request with an ID, if it is pending.
func (p pendingReplies) take(id uint64) (request pendingRequest, pending bool) {
	request, pending = p[id]
	delete(p, id)
	return request, pending
}

// handleStoreReply passes a reply to the handler of its request.
func (c *Core) handleStoreReply(reply StoreReply) {
	request, pending := c.pendingReplies.take(reply.ID)
	if !pending {
		return
	}
	c.recordStoreReply(request.sentAt, reply)
	request.handle(reply)
}

// expectReply assigns an ID to a store request and registers the handler of its reply.
func (e *environment) expectReply(handle func(StoreReply)) uint64 {
	id := e.ids.next()
	e.pendingReplies[id] = pendingRequest{sentAt: e.now.Steady, handle: handle}
	return id
}

// compareAndSwap runs a transaction and passes its outcome to handle. Urgent transactions are sent
// first.
func (e *environment) compareAndSwap(txn protocol.Txn, urgent bool, handle func(StoreReply)) {
	e.emit(StoreTxn{ID: e.expectReply(handle), Txn: txn, Urgent: urgent})
}

// get reads a key and passes the reply to handle.
func (e *environment) get(key string, handle func(StoreReply)) {
	e.emit(StoreGet{ID: e.expectReply(handle), Key: key})
}
