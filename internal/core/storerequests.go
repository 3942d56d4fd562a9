package core

import (
	"time"

	"pepperlever/internal/protocol"
)

// sequence hands out numbers that are unique in one run of a controller.
type sequence struct{ last uint64 }

func (s *sequence) next() uint64 {
	s.last++
	return s.last
}

// pendingReplies holds the requests to the store that are not answered yet, by their ID.
type pendingReplies map[uint64]pendingReply

// pendingReply is a request to the store that was sent at a time, and what takes the reply.
type pendingReply struct {
	sentAt time.Duration
	handle func(StoreReply)
}

// take removes and returns the request that a reply answers, if it is pending.
func (p pendingReplies) take(id uint64) (request pendingReply, pending bool) {
	request, pending = p[id]
	delete(p, id)
	return request, pending
}

// handleStoreReply hands a reply to whoever waits for it.
func (c *Core) handleStoreReply(reply StoreReply) {
	request, pending := c.pendingReplies.take(reply.ID)
	if !pending {
		return
	}
	c.noteStoreReply(request.sentAt, reply)
	request.handle(reply)
}

// expectReply numbers a request to the store whose reply goes to handle.
func (e *environment) expectReply(handle func(StoreReply)) uint64 {
	id := e.ids.next()
	e.pendingReplies[id] = pendingReply{sentAt: e.now.Steady, handle: handle}
	return id
}

// compareAndSwap runs a transaction and hands its outcome to handle. Urgent ones go first.
func (e *environment) compareAndSwap(txn protocol.Txn, urgent bool, handle func(StoreReply)) {
	e.emit(StoreTxn{ID: e.expectReply(handle), Txn: txn, Urgent: urgent})
}

// get reads a key and hands the reply to handle.
func (e *environment) get(key string, handle func(StoreReply)) {
	e.emit(StoreGet{ID: e.expectReply(handle), Key: key})
}
