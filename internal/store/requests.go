package store

import (
	"context"
	"math/rand/v2"
	"time"

	"pepperlever/internal/core"
)

// Txn queues a transaction; its reply goes to the core.
func (s *Store) Txn(t core.StoreTxn) {
	changes := len(t.Txn.Then)
	s.enqueue(t.Urgent || t.Quick, t.ID, func() core.StoreReply {
		return s.retry(t.Quick, changes, func() core.StoreReply {
			reply := s.requests.txn(t.Txn)
			s.notePressure(changes, reply)
			return reply
		})
	})
}

// Get queues a read; its reply goes to the core.
func (s *Store) Get(g core.StoreGet) {
	s.enqueue(true, g.ID, func() core.StoreReply {
		return s.retry(g.Quick, 0, func() core.StoreReply { return s.requests.get(g.Key) })
	})
}

// notePressure goes over to the limits that come into force at an unknown moment, as
// soon as the key-value store shows that they have.
func (s *Store) notePressure(changes int, reply core.StoreReply) {
	state := s.cfg.Params.State
	if state.Tightest() == state.StateLimits {
		return
	}
	if !s.pressure.note(time.Now(), changes, reply.RateLimited, reply.Oversized) {
		return
	}
	s.limit.setWrites(state.Tightest().WriteRPS)
	s.emit(core.StoreLimitLowered{})
}

// enqueue queues a request whose reply goes to the core. The core itself is the caller, and must
// not wait for its own queue: a request that finds the queue full is refused.
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
		go s.emit(core.StoreReply{ID: id, Outcome: core.Refused})
	}
}

// work runs queued requests, urgent ones first.
func (s *Store) work(ctx context.Context) error {
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

// retry repeats a request that was not carried out, for a user only shortly, and not when the
// key-value store is down: the user is asked to come back instead. The pause doubles each time.
func (s *Store) retry(quick bool, changes int, request func() core.StoreReply) core.StoreReply {
	timeout := s.reportInterval()
	if quick {
		timeout /= 4
	}
	start := time.Now()
	pause := s.reportInterval() / 50
	for {
		if !s.limit.wait(changes, timeout-time.Since(start)) {
			return core.StoreReply{Outcome: core.Refused}
		}
		reply := request()
		s.health.note(reply.Outcome != core.Refused && reply.Outcome != core.Unknown, s.reportInterval())
		if reply.Outcome != core.Refused || quick && reply.Unavailable || time.Since(start)+pause > timeout {
			return reply
		}
		time.Sleep(pause/2 + rand.N(pause))
		pause *= 2
	}
}
