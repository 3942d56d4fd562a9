package store

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"pepperlever/internal/core"
	"pepperlever/internal/protocol"
)

// leaseID identifies a lease; 0 means that there is none.
type leaseID uint64

// renewalResult is the outcome of one renewal of a lease.
type renewalResult struct {
	lease  leaseID
	status int
	err    error
}

// failed reports whether the lease may not have been renewed.
func (r renewalResult) failed() bool { return r.err != nil || r.status != fasthttp.StatusOK }

// expired reports whether the lease has expired.
func (r renewalResult) expired() bool { return r.err == nil && r.status == fasthttp.StatusNotFound }

// keepLease keeps a lease alive and notifies the core of each new one. A renewal is sent every
// third of the lease's time to live, even if the previous one has not been answered: waiting
// for the answer of a slow store would let the lease expire, and this node would lose all its
// leaderships (docs/incidents/inc-5631.md). Each renewal first waits for the core to make progress: a core
// that hangs cannot act as a leader, so its lease must end (docs/incidents/stuck-core.md).
func (s *Store) keepLease(ctx context.Context) error {
	var lease leaseID
	results := make(chan renewalResult, 1)
	for s.awaitProgress(ctx) {
		interval := s.cfg.ControllerLease()/3 - s.progressCheckInterval() // the first check for progress takes the rest
		if lease == 0 {
			if lease = s.acquireLease(); lease == 0 {
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

// progressChecksPerLease is how often in the time to live of a lease awaitProgress looks for progress.
const progressChecksPerLease = 30

// progressCheckInterval returns the pause between two checks for progress.
func (s *Store) progressCheckInterval() time.Duration {
	return s.cfg.ControllerLease() / progressChecksPerLease
}

// awaitProgress waits until the core finishes a unit of work. It reports false if ctx is done before.
func (s *Store) awaitProgress(ctx context.Context) bool {
	units := s.progress.Units()
	for ctx.Err() == nil {
		if s.progress.Units() != units {
			return true
		}
		sleep(ctx, s.progressCheckInterval())
	}
	return false
}

// acquireLease requests a new lease. It returns 0 if none was granted.
func (s *Store) acquireLease() leaseID {
	var granted protocol.LeaseGranted
	request := protocol.LeaseGrant{TTLMillis: s.cfg.ControllerLease().Milliseconds()}
	status, err := s.requestClient.call(fasthttp.MethodPost, protocol.PathLeases, request, &granted)
	if err != nil || status != fasthttp.StatusOK || granted.Lease == 0 {
		return 0
	}
	s.emit(core.LeaseGranted{Lease: granted.Lease})
	return leaseID(granted.Lease)
}

// renew sends one renewal of a lease and passes its outcome to results.
func (s *Store) renew(ctx context.Context, lease leaseID, results chan<- renewalResult) {
	path := protocol.PathLeases + "/" + strconv.FormatUint(uint64(lease), 10) + "/" + protocol.PathRenew
	status, err := s.requestClient.call(fasthttp.MethodPost, path, struct{}{}, nil)
	s.health.record(err == nil && status < fasthttp.StatusTooManyRequests, s.reportInterval())
	select {
	case results <- renewalResult{lease, status, err}:
	case <-ctx.Done():
	}
}

// awaitRenewals handles the outcomes of renewals until the next renewal is due, which is sooner
// after a failed one. It returns the lease, or 0 if it has expired.
func (s *Store) awaitRenewals(ctx context.Context, lease leaseID, interval time.Duration, results <-chan renewalResult) leaseID {
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
				due.Reset(s.cfg.ControllerLease() / 10)
			}
		case <-due.C:
			return lease
		case <-ctx.Done():
			return lease
		}
	}
}
