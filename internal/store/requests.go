package store

import (
	"context"
	"math/rand/v2"
	"time"

	"pepperlever/internal/core"
)

// Txn queues a transaction. The reply is passed to the core.
func (s *Store) Txn(t core.StoreTxn) {
	changes := len(t.Txn.Then)
	s.enqueue(t.Urgent || t.FailFast, t.ID, func() core.StoreReply {
		return s.retry(t.FailFast, changes, func() core.StoreReply {
			reply := s.requestClient.txn(t.Txn)
			s.detectLowerLimit(changes, reply)
			return reply
		})
	})
}

// Get queues a read. The reply is passed to the core.
func (s *Store) Get(g core.StoreGet) {
	s.enqueue(true, g.ID, func() core.StoreReply {
		return s.retry(g.FailFast, 0, func() core.StoreReply { return s.requestClient.get(g.Key) })
	})
}

// detectLowerLimit lowers the limit on changes and notifies the core as soon as a reply of the
// key-value store shows that the limits in State.Next are in force. The time of that change is
// not known in advance.
func (s *Store) detectLowerLimit(changes int, reply core.StoreReply) {
	state := s.cfg.Params.State
	if state.LowestLimits() == state.StateLimits {
		return
	}
	if !s.limitDetector.record(time.Now(), changes, reply.RateLimited, reply.Oversized) {
		return
	}
	s.rateLimiter.setChangeRate(state.LowestLimits().WriteRPS)
	s.emit(core.StoreLimitLowered{})
}

// enqueue queues a request whose reply is passed to the core. It never blocks, because its
// caller is the core, which must not wait for its own queue: if the request queue is full,
// the request is refused.
func (s *Store) enqueue(urgent bool, id uint64, request func() core.StoreReply) {
	queue := s.normal
	if urgent {
		queue = s.urgent
	}
	run := func() {
		reply := request()
		reply.ID = id
		s.emit(reply)
	}
	select {
	case queue <- run:
	default:
		go s.emit(core.StoreReply{ID: id, Outcome: core.OutcomeRefused})
	}
}

// runQueued runs queued requests, urgent ones first.
func (s *Store) runQueued(ctx context.Context) error {
	for {
		select {
		case run := <-s.urgent:
			run()
			continue
		default:
		}
		select {
		case run := <-s.urgent:
			run()
		case run := <-s.normal:
			run()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// retry retries a refused request with exponential backoff until the timeout. A fail-fast request,
// for which a user waits, has a shorter timeout and is not retried while the key-value store
// is unavailable: the user is asked to retry instead.
func (s *Store) retry(failFast bool, changes int, request func() core.StoreReply) core.StoreReply {
	timeout := s.reportInterval()
	if failFast {
		timeout /= 4
	}
	start := time.Now()
	backoff := s.reportInterval() / 50
	for {
		if !s.rateLimiter.wait(changes, timeout-time.Since(start)) {
			return core.StoreReply{Outcome: core.OutcomeRefused}
		}
		reply := request()
		s.health.record(reply.Outcome != core.OutcomeRefused && reply.Outcome != core.OutcomeUnknown, s.reportInterval())
		if reply.Outcome != core.OutcomeRefused || failFast && reply.Unavailable || time.Since(start)+backoff > timeout {
			return reply
		}
		time.Sleep(backoff/2 + rand.N(backoff))
		backoff *= 2
	}
}
