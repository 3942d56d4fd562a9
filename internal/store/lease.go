package store

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/core"
	"pepperlever/internal/protocol"
)

// leaseID names a lease; 0 is none.
type leaseID uint64

// renewal is the outcome of one renewal of a lease.
type renewal struct {
	lease  leaseID
	status int
	err    error
}

// failed tells whether the lease may not have been renewed.
func (r renewal) failed() bool { return r.err != nil || r.status != fasthttp.StatusOK }

// expired tells whether the lease has ended.
func (r renewal) expired() bool { return r.err == nil && r.status == fasthttp.StatusNotFound }

// keepLease holds a lease and tells the core when it is a new one. A renewal is sent
// every third of the lease's time, whether the one before is answered or not: if each waited
// for the answer to the one before, a slow store would let the lease end, and
// with it all leaderships (docs/incidents/inc-5631.md).
func (s *Store) keepLease(ctx context.Context) error {
	var lease leaseID
	results := make(chan renewal, 1)
	for ctx.Err() == nil {
		interval := s.leaseTTL() / 3
		if lease == 0 {
			if lease = s.grantLease(); lease == 0 {
				interval = s.retryInterval()
			}
			sleep(ctx, interval)
			continue
		}
		go s.renew(ctx, lease, results)
		lease = s.awaitRenewals(ctx, lease, interval, results)
	}
	return ctx.Err()
}

// grantLease gets a new lease, or 0.
func (s *Store) grantLease() leaseID {
	var granted protocol.LeaseGranted
	request := protocol.LeaseGrant{TTLMillis: s.leaseTTL().Milliseconds()}
	status, err := s.requests.call(fasthttp.MethodPost, protocol.PathLeases, request, &granted)
	if err != nil || status != fasthttp.StatusOK || granted.Lease == 0 {
		return 0
	}
	s.emit(core.LeaseGranted{Lease: granted.Lease})
	return leaseID(granted.Lease)
}

// renew renews a lease once.
func (s *Store) renew(ctx context.Context, lease leaseID, results chan<- renewal) {
	path := protocol.PathLeases + "/" + strconv.FormatUint(uint64(lease), 10) + "/" + protocol.PathRenew
	status, err := s.requests.call(fasthttp.MethodPost, path, struct{}{}, nil)
	s.health.note(err == nil && status < fasthttp.StatusTooManyRequests, s.reportInterval())
	select {
	case results <- renewal{lease, status, err}:
	case <-ctx.Done():
	}
}

// awaitRenewals takes outcomes until the next renewal is due, sooner after one that
// failed. It returns the lease, or 0 once it has ended.
func (s *Store) awaitRenewals(ctx context.Context, lease leaseID, interval time.Duration, results <-chan renewal) leaseID {
	due := time.NewTimer(interval)
	defer due.Stop()
	for {
		select {
		case r := <-results:
			switch {
			case r.lease != lease:
			case r.expired():
				s.emit(core.LeaseExpired{})
				return 0
			case r.failed():
				due.Reset(s.leaseTTL() / 10)
			}
		case <-due.C:
			return lease
		case <-ctx.Done():
			return lease
		}
	}
}
