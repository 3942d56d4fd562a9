// Package store carries out the core's requests to the consensus-backed key-value store.
package store

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"pepperlever/internal/core"
	"pepperlever/internal/settings"
)

const (
	// workers is how many requests are carried out at the same time.
	workers = 16
	// queueLength is how many requests may wait, of the urgent ones and of the others.
	queueLength = 4096
	// watchShare is the part of the requests that watches may take.
	watchShare = 1.0 / 8
)

// Store runs the core's requests within the limits of the key-value store, keeps
// the lease alive and follows the changes.
type Store struct {
	cfg *settings.Settings
	// root is the prefix of all keys.
	root string
	emit func(core.Command)
	// requests does single requests, watches those that stay open.
	requests *client
	watches  *client
	reload   chan struct{}
	health   health
	limit    *limiter
	// pressure notices limits that have become lower.
	pressure pressure
	// urgent and normal are the queued requests.
	urgent, normal chan func()
}

// New makes a Store that passes to emit what it learns.
func New(cfg *settings.Settings, root string, emit func(core.Command)) *Store {
	s := &Store{
		cfg:    cfg,
		root:   root,
		emit:   emit,
		reload: make(chan struct{}, 1),
		urgent: make(chan func(), queueLength),
		normal: make(chan func(), queueLength),
	}
	s.requests = newClient(cfg.Services.State, s.requestTimeout())
	s.watches = newClient(cfg.Services.State, 2*s.watchTimeout())
	s.limit = newLimiter(cfg.Params.State.RPS, cfg.Params.State.WriteRPS)
	s.health.emit = emit
	s.pressure.window = s.reportInterval()
	return s
}

func (s *Store) reportInterval() time.Duration {
	return time.Duration(s.cfg.Params.Workers.ReportS * float64(time.Second))
}

// requestTimeout is how long one request may take.
func (s *Store) requestTimeout() time.Duration { return s.reportInterval() * 2 / 3 }

// watchTimeout is how long a watch stays open.
func (s *Store) watchTimeout() time.Duration { return s.reportInterval() }

// retryInterval is the pause after a watch or a lease request that failed.
func (s *Store) retryInterval() time.Duration { return s.reportInterval() / 10 }

// watchInterval is the pause between two watches: all controllers' watches together
// take a small part of the requests that the key-value store allows. What is
// urgent between controllers does not wait for a watch.
func (s *Store) watchInterval() time.Duration {
	controllers := float64(len(s.cfg.Peers) + 1)
	return time.Duration(controllers * float64(time.Second) / (watchShare * s.cfg.Params.State.RPS))
}

// leaseTTL is the time to live of this node's lease: short, since an early end costs
// a change of leaders and nothing else.
func (s *Store) leaseTTL() time.Duration {
	return time.Duration(s.cfg.Params.Workers.LeaseS * float64(time.Second) / 8)
}

// Run works until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.keepLease(ctx) })
	group.Go(func() error { return s.follow(ctx) })
	for range workers {
		group.Go(func() error { return s.work(ctx) })
	}
	return group.Wait()
}

// sleep waits for some time, or until ctx ends.
func sleep(ctx context.Context, pause time.Duration) {
	if pause <= 0 {
		return
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
