// Package store sends the core's requests to the consensus-backed key-value store, keeps
// this node's lease alive and watches for changes.
package store

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"pepperlever/internal/core"
	"pepperlever/internal/progress"
	"pepperlever/internal/settings"
)

const (
	// maxConcurrentRequests is how many queued requests run at the same time.
	maxConcurrentRequests = 16
	// queueLength is the capacity of each queue, the urgent and the normal one.
	queueLength = 4096
	// watchShare is the share of the request limit that all watches together may use.
	watchShare = 1.0 / 8
)

// Store is the adapter between the core and the key-value store. It keeps requests within
// the store's limits.
type Store struct {
	cfg *settings.Settings
	// root is the common prefix of all keys.
	root string
	emit func(core.Command)
	// progress counts what the core has finished. The lease is renewed only while it advances.
	progress *progress.Counter
	// requestClient sends transactions, reads and lease requests. watchClient lists keys and
	// sends watch requests, which stay open until there are changes.
	requestClient   *client
	watchClient     *client
	reloadRequested chan struct{}
	health          health
	rateLimiter     *limiter
	// limitDetector detects that the store's limits have been lowered.
	limitDetector limitDetector
	// urgent and normal hold the queued requests.
	urgent, normal chan func()
}

// New returns a Store that passes replies, changes and lease events to emit. progress counts what the
// core has finished.
func New(cfg *settings.Settings, root string, progress *progress.Counter, emit func(core.Command)) *Store {
	s := &Store{
		cfg:             cfg,
		root:            root,
		emit:            emit,
		progress:        progress,
		reloadRequested: make(chan struct{}, 1),
		urgent:          make(chan func(), queueLength),
		normal:          make(chan func(), queueLength),
	}
	s.requestClient = newClient(cfg.Services.State, s.requestTimeout())
	s.watchClient = newClient(cfg.Services.State, 2*s.watchTimeout())
	s.rateLimiter = newLimiter(cfg.Params.State.RPS, cfg.Params.State.WriteRPS)
	s.health.emit = emit
	s.limitDetector.window = s.reportInterval()
	return s
}

func (s *Store) reportInterval() time.Duration {
	return time.Duration(s.cfg.Params.Workers.ReportS * float64(time.Second))
}

// requestTimeout returns how long one request may take.
func (s *Store) requestTimeout() time.Duration { return s.reportInterval() * 2 / 3 }

// watchTimeout returns how long a watch request stays open if there are no changes.
func (s *Store) watchTimeout() time.Duration { return s.reportInterval() }

// retryInterval returns the pause after a failed watch or lease request.
func (s *Store) retryInterval() time.Duration { return s.reportInterval() / 10 }

// watchInterval returns the pause between two watch requests. It keeps the watches of all
// controllers together within watchShare of the request limit. Urgent messages between
// controllers are sent directly and do not wait for a watch.
func (s *Store) watchInterval() time.Duration {
	controllers := float64(len(s.cfg.Peers) + 1)
	return time.Duration(controllers * float64(time.Second) / (watchShare * s.cfg.Params.State.RPS))
}

// Run keeps the lease, follows changes and sends queued requests until ctx is done.
func (s *Store) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return s.keepLease(ctx) })
	group.Go(func() error { return s.followChanges(ctx) })
	for range maxConcurrentRequests {
		group.Go(func() error { return s.runQueued(ctx) })
	}
	return group.Wait()
}

// sleep pauses for the given time, or until ctx is done.
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
