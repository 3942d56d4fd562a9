package store

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"pepperlever/internal/core"
	"pepperlever/internal/httpclient"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// Store runs the core's requests within the limits of the state service, keeps
// the lease alive and follows the changes.
type Store struct {
	cfg    *settings.Settings
	root   string
	emit   func(core.Command)
	quick  *client
	watch  *client
	reload chan struct{}
	health health
	limit  *limiter
	// pressure notices limits that have become lower.
	pressure pressure
	lanes    [2]chan func()
}

// New makes a Store that tells emit what it learns.
func New(cfg *settings.Settings, root string, emit func(core.Command)) *Store {
	s := &Store{cfg: cfg, root: root, emit: emit, reload: make(chan struct{}, 1)}
	s.quick = newClient(cfg.Services.State, s.patience())
	s.watch = newClient(cfg.Services.State, 2*s.wait())
	s.limit = newLimiter(cfg.Params.State.RPS, cfg.Params.State.WriteRPS)
	s.health.emit = emit
	s.pressure.window = s.report()
	for i := range s.lanes {
		s.lanes[i] = make(chan func(), 4096)
	}
	return s
}

func (s *Store) report() time.Duration {
	return time.Duration(s.cfg.Params.Workers.ReportS * float64(time.Second))
}

// patience is how long one request may take, wait how long a watch stays open.
func (s *Store) patience() time.Duration { return s.report() * 2 / 3 }
func (s *Store) wait() time.Duration     { return s.report() }

// gather is the pause between two watches: all controllers' watches together
// take a small part of the requests that the state service allows. What is
// urgent between controllers does not wait for a watch.
func (s *Store) gather() time.Duration {
	nodes := float64(len(s.cfg.Peers) + 1)
	return time.Duration(nodes * float64(time.Second) / (watchPart * s.cfg.Params.State.RPS))
}

// watchPart is the part of the requests that watches may take.
const watchPart = 1.0 / 8

// ttl is the time to live of this node's lease: short, since an early end costs
// a change of homes and nothing else.
func (s *Store) ttl() time.Duration {
	return time.Duration(s.cfg.Params.Workers.LeaseS * float64(time.Second) / 8)
}

// Run works until ctx ends.
func (s *Store) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return s.keepLease(ctx) })
	g.Go(func() error { return s.follow(ctx) })
	for range 16 {
		g.Go(func() error { return s.work(ctx) })
	}
	return g.Wait()
}

// work runs queued requests, urgent ones first.
func (s *Store) work(ctx context.Context) error {
	for {
		select {
		case f := <-s.lanes[0]:
			f()
			continue
		default:
		}
		select {
		case f := <-s.lanes[0]:
			f()
		case f := <-s.lanes[1]:
			f()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Txn queues a transaction; its reply goes to the core.
func (s *Store) Txn(t core.StoreTxn) {
	s.queue(t.Urgent || t.Quick, t.ID, func() core.StoreReply {
		return s.try(t.Quick, len(t.Txn.Then), func() core.StoreReply {
			r := s.quick.txn(t.Txn)
			s.notePressure(len(t.Txn.Then), r)
			return r
		})
	})
}

// notePressure goes over to the limits that come into force at a moment nobody tells, as
// soon as the state service shows that they have.
func (s *Store) notePressure(changes int, r core.StoreReply) {
	state := s.cfg.Params.State
	if state.Tightest() == state.StateLimits || !s.pressure.note(time.Now(), changes, r.RateLimited, r.Oversized) {
		return
	}
	s.limit.setWrites(state.Tightest().WriteRPS)
	s.emit(core.StoreLimitLowered{})
}

// Get queues a read.
func (s *Store) Get(g core.StoreGet) {
	s.queue(true, g.ID, func() core.StoreReply {
		return s.try(g.Quick, 0, func() core.StoreReply { return s.quick.get(g.Key) })
	})
}

// Reload asks for everything to be read again.
func (s *Store) Reload() {
	select {
	case s.reload <- struct{}{}:
	default:
	}
}

func (s *Store) queue(urgent bool, id uint64, f func() core.StoreReply) {
	lane := s.lanes[1]
	if urgent {
		lane = s.lanes[0]
	}
	job := func() {
		r := f()
		r.ID = id
		s.emit(r)
	}
	select {
	case lane <- job:
	default:
		// The core itself is the caller, and must not wait for its own queue.
		go s.emit(core.StoreReply{ID: id, Outcome: core.Refused})
	}
}

// try repeats a request that was not carried out, for a user only shortly, and
// not when the state service is down: the user is told to come back instead.
func (s *Store) try(quick bool, writes int, f func() core.StoreReply) core.StoreReply {
	patience := s.report()
	if quick {
		patience = s.report() / 4
	}
	start := time.Now()
	pause := s.report() / 50
	for {
		if !s.limit.wait(writes, patience-time.Since(start)) {
			return core.StoreReply{Outcome: core.Refused}
		}
		r := f()
		s.health.note(r.Outcome != core.Refused && r.Outcome != core.Unknown, s.report())
		if r.Outcome != core.Refused || quick && r.Unavailable || time.Since(start)+pause > patience {
			return r
		}
		time.Sleep(pause/2 + rand.N(pause))
		pause *= 2
	}
}

// health tells the core when the state service stops or starts to answer.
type health struct {
	mu     sync.Mutex
	emit   func(core.Command)
	down   bool
	lastOK time.Time
}

func (h *health) note(ok bool, grace time.Duration) {
	h.mu.Lock()
	now := time.Now()
	if ok || h.lastOK.IsZero() {
		h.lastOK = now
	}
	down := !ok && now.Sub(h.lastOK) > grace
	changed := down != h.down && (down || ok)
	if changed {
		h.down = down
	}
	h.mu.Unlock()
	if changed {
		slog.Info("state service", "answers", !down)
		h.emit(core.StoreHealth{OK: !down})
	}
}

// renewal is the outcome of one renewal of a lease.
type renewal struct {
	lease  uint64
	status int
	err    error
}

// keepLease holds a lease and tells the core when it is a new one. A renewal is sent
// every third of the lease's time, whether the one before is answered or not: where
// the state service is slow now and then, waiting for one answer let the lease end, and
// every controller lost its homes every few seconds (docs/incidents/inc-5631.md).
func (s *Store) keepLease(ctx context.Context) error {
	var lease uint64
	results := make(chan renewal, 1)
	for ctx.Err() == nil {
		pause := s.ttl() / 3
		if lease == 0 {
			var g protocol.LeaseGranted
			status, err := s.quick.call(fasthttp.MethodPost, protocol.PathLeases, protocol.LeaseGrant{TTLMillis: s.ttl().Milliseconds()}, &g)
			if err == nil && status == fasthttp.StatusOK && g.Lease != 0 {
				lease = g.Lease
				s.emit(core.LeaseGranted{Lease: lease})
			} else {
				pause = s.report() / 10
			}
			sleep(ctx, pause)
			continue
		}
		go s.renew(ctx, lease, results)
		lease = s.awaitRenewals(ctx, lease, pause, results)
	}
	return ctx.Err()
}

// renew renews a lease once.
func (s *Store) renew(ctx context.Context, lease uint64, results chan<- renewal) {
	path := protocol.PathLeases + "/" + strconv.FormatUint(lease, 10) + "/" + protocol.PathRenew
	status, err := s.quick.call(fasthttp.MethodPost, path, struct{}{}, nil)
	s.health.note(err == nil && status < 429, s.report())
	select {
	case results <- renewal{lease, status, err}:
	case <-ctx.Done():
	}
}

// awaitRenewals takes outcomes until the next renewal is due, sooner after one that
// failed. It returns the lease, or 0 once it has ended.
func (s *Store) awaitRenewals(ctx context.Context, lease uint64, pause time.Duration, results <-chan renewal) uint64 {
	due := time.NewTimer(pause)
	defer due.Stop()
	for {
		select {
		case r := <-results:
			switch {
			case r.lease != lease:
			case r.err == nil && r.status == fasthttp.StatusNotFound:
				s.emit(core.LeaseExpired{})
				return 0
			case r.err != nil || r.status != fasthttp.StatusOK:
				due.Reset(s.ttl() / 10)
			}
		case <-due.C:
			return lease
		case <-ctx.Done():
			return lease
		}
	}
}

// errReload tells that the changes can't be followed from here on.
var errReload = errors.New("read everything again")

// follow loads the stored state and then passes every change on.
func (s *Store) follow(ctx context.Context) error {
	for ctx.Err() == nil {
		since, err := s.load()
		if err == nil {
			err = s.changes(ctx, since)
		}
		if !errors.Is(err, errReload) {
			sleep(ctx, s.report()/10)
		}
	}
	return ctx.Err()
}

func (s *Store) load() (uint64, error) {
	var out core.SnapshotLoaded
	after := ""
	for {
		args := []string{protocol.ArgPrefix, s.root, protocol.ArgLimit, "500"}
		if after != "" {
			args = append(args, protocol.ArgAfter, after)
		}
		var page protocol.KeyList
		status, err := s.watch.call(fasthttp.MethodGet, httpclient.Query(protocol.PathKV, args...), nil, &page)
		if err != nil {
			return 0, err
		}
		if status != fasthttp.StatusOK {
			return 0, errors.New("list refused")
		}
		if out.Revision == 0 {
			out.Revision = page.Revision
		}
		out.Items = append(out.Items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			s.emit(out)
			return out.Revision, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
}

// changes follows the watch until it has to start over. A short pause between
// two watches lets changes gather into one answer.
func (s *Store) changes(ctx context.Context, since uint64) error {
	for ctx.Err() == nil {
		select {
		case <-s.reload:
			return errReload
		default:
		}
		var ch protocol.Changes
		status, err := s.watch.call(fasthttp.MethodGet, httpclient.Query(protocol.PathWatch, protocol.ArgPrefix, s.root,
			protocol.ArgAfter, strconv.FormatUint(since, 10),
			protocol.ArgWait, strconv.FormatInt(s.wait().Milliseconds(), 10)), nil, &ch)
		switch {
		case err == nil && status == fasthttp.StatusOK:
			if len(ch.Events) > 0 || ch.Revision > since {
				s.emit(core.StoreChanged{Revision: ch.Revision, Events: ch.Events})
			}
			since = max(since, ch.Revision)
			sleep(ctx, s.gather())
		case err == nil && status == fasthttp.StatusGone:
			return errReload
		default:
			sleep(ctx, s.report()/10)
		}
	}
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
