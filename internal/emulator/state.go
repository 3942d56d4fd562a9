package emulator

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"pepperlever/internal/protocol"
)

// StateLimits are the limits of the state service.
type StateLimits struct {
	// RPS and WriteRPS are requests and changes a second, with bursts of a
	// second's worth; ValueKB bounds a value in KiB, TxnOps a transaction's changes.
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// State serves a KV over HTTP.
type State struct {
	limits StateLimits
	start  time.Time

	mu       sync.Mutex
	kv       *KV
	down     bool
	disk     *disk
	changed  chan struct{} // closed and replaced at every change
	requests bucket
	writes   bucket
}

// NewState serves the store kept in dir, or one in memory when dir is empty.
func NewState(limits StateLimits, dir string) (*State, error) {
	s := &State{limits: limits, start: time.Now(), kv: NewKV(), changed: make(chan struct{})}
	s.requests, s.writes = newBucket(limits.RPS, limits.RPS), newBucket(limits.WriteRPS, limits.WriteRPS)
	if dir == "" {
		return s, nil
	}
	var err error
	s.disk, err = openDisk(dir, s.kv)
	s.kv.Extend(0)
	return s, err
}

// Close ends the file that the state is kept in.
func (s *State) Close() error {
	if s.disk == nil {
		return nil
	}
	return s.disk.db.Close()
}

// SetDown starts or ends an outage. When one ends, every lease has its full time
// again.
func (s *State) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		s.kv.Extend(s.now())
	}
	s.down = down
}

// count is how many keys begin with prefix, made how many changes were made.
func (s *State) count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.kv.items {
		if strings.HasPrefix(key, prefix) {
			n++
		}
	}
	return n
}

func (s *State) made() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kv.made
}

func (s *State) now() time.Duration { return time.Since(s.start) }

// Run answers on ln until ctx ends.
func (s *State) Run(ctx context.Context, ln net.Listener) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return serve(ctx, ln, s.handle) })
	g.Go(func() error {
		return every(ctx, leaseTick, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.expire()
		})
	})
	return g.Wait()
}

// leaseTick is how late a lease may end.
const leaseTick = 50 * time.Millisecond

func (s *State) expire() {
	if !s.down {
		s.mutate(func() { s.kv.Expire(s.now()) })
	}
}

// mutate runs f, which may change the store, saves what it has changed and wakes
// the watches.
func (s *State) mutate(f func()) {
	before := counters{s.kv.revision, s.kv.lastID}
	f()
	after := counters{s.kv.revision, s.kv.lastID}
	if after != before && s.disk != nil {
		s.disk.save(s.kv)
	}
	if after.Revision != before.Revision {
		clear(s.kv.touched)
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *State) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.expire()
	path, method := string(ctx.Path()), string(ctx.Method())
	switch {
	case s.down && path == protocol.PathWatch:
		s.watch(ctx)
	case s.down:
		problem(ctx, fasthttp.StatusServiceUnavailable, "trouble")
	case !s.requests.take(now, 1):
		problem(ctx, fasthttp.StatusTooManyRequests, "too many requests")
	case path == protocol.PathTxn && method == fasthttp.MethodPost:
		s.mutate(func() { s.txn(ctx, now) })
	case path == protocol.PathWatch && method == fasthttp.MethodGet:
		s.watch(ctx)
	case path == protocol.PathKV && method == fasthttp.MethodGet:
		s.list(ctx)
	case strings.HasPrefix(path, protocol.PathKV+"/") && method == fasthttp.MethodGet:
		s.get(ctx, strings.TrimPrefix(path, protocol.PathKV+"/"))
	case path == protocol.PathLeases || strings.HasPrefix(path, protocol.PathLeases+"/"):
		s.mutate(func() { s.lease(ctx, method, strings.TrimPrefix(path, protocol.PathLeases), now) })
	default:
		problem(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

func (s *State) get(ctx *fasthttp.RequestCtx, key string) {
	kv, ok := s.kv.Get(key)
	if !ok {
		answer(ctx, fasthttp.StatusNotFound, protocol.TxnResult{Revision: s.kv.revision})
		return
	}
	answer(ctx, fasthttp.StatusOK, kv)
}

func (s *State) list(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	limit, err := strconv.Atoi(string(args.Peek(protocol.ArgLimit)))
	if err != nil || limit < 1 {
		limit = maxPage
	}
	answer(ctx, fasthttp.StatusOK, s.kv.List(string(args.Peek(protocol.ArgPrefix)), string(args.Peek(protocol.ArgAfter)), limit))
}

func (s *State) txn(ctx *fasthttp.RequestCtx, now time.Duration) {
	var t protocol.Txn
	if err := json.Unmarshal(ctx.PostBody(), &t); err != nil {
		problem(ctx, fasthttp.StatusBadRequest, "malformed transaction")
		return
	}
	if why := s.malformed(&t); why != "" {
		problem(ctx, fasthttp.StatusBadRequest, why)
		return
	}
	if !s.writes.take(now, float64(len(t.Then))) {
		problem(ctx, fasthttp.StatusTooManyRequests, "too many changes")
		return
	}
	out, ok, noLease := s.kv.Apply(t)
	switch {
	case noLease:
		problem(ctx, fasthttp.StatusBadRequest, "no such lease")
	case ok:
		answer(ctx, fasthttp.StatusOK, out)
	default:
		answer(ctx, fasthttp.StatusConflict, out)
	}
}

// malformed tells what is wrong with a transaction, or nothing.
func (s *State) malformed(t *protocol.Txn) string {
	if len(t.Then) > s.limits.TxnOps || len(t.If) > 4*s.limits.TxnOps {
		return "transaction is too long"
	}
	for _, c := range t.If {
		if !validKey(c.Key) {
			return "bad key"
		}
	}
	for _, ch := range t.Then {
		switch {
		case (ch.Put == "") == (ch.Delete == "") || !validKey(ch.Put+ch.Delete):
			return "bad key"
		case ch.Put != "" && len(ch.Value) == 0:
			return "value is missing"
		case float64(len(ch.Value)) > s.limits.ValueKB*1024:
			return "value is too long"
		}
	}
	return ""
}

func validKey(key string) bool {
	return len(key) >= 1 && len(key) <= 200 && !strings.ContainsAny(key, " \t\n")
}

// lease grants, renews and revokes.
func (s *State) lease(ctx *fasthttp.RequestCtx, method, rest string, now time.Duration) {
	id, action, _ := strings.Cut(strings.TrimPrefix(rest, "/"), "/")
	n, err := strconv.ParseUint(id, 10, 64)
	there := false
	switch {
	case rest == "" && method == fasthttp.MethodPost:
		var g protocol.LeaseGrant
		if json.Unmarshal(ctx.PostBody(), &g) != nil || g.TTLMillis < 100 || g.TTLMillis > 600_000 {
			problem(ctx, fasthttp.StatusBadRequest, "bad time to live")
			return
		}
		ttl := time.Duration(g.TTLMillis) * time.Millisecond
		answer(ctx, fasthttp.StatusOK, protocol.LeaseGranted{Lease: s.kv.Grant(now, ttl)})
		return
	case err != nil:
	case action == protocol.PathRenew && method == fasthttp.MethodPost:
		there = s.kv.Renew(now, n)
	case action == "" && method == fasthttp.MethodDelete:
		there = s.kv.Revoke(n)
	}
	if !there {
		problem(ctx, fasthttp.StatusNotFound, "no such lease")
		return
	}
	answer(ctx, fasthttp.StatusOK, protocol.LeaseGranted{Lease: n})
}

// maxWatch is for how long a watch may stay open.
const maxWatch = time.Minute

// watch waits for a change below a prefix. It gives the lock up meanwhile. During
// an outage it stays open.
func (s *State) watch(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	prefix := string(args.Peek(protocol.ArgPrefix))
	since, errSince := strconv.ParseUint(string(args.Peek(protocol.ArgAfter)), 10, 64)
	wait, errWait := strconv.ParseInt(string(args.Peek(protocol.ArgWait)), 10, 64)
	if errSince != nil || errWait != nil && args.Has(protocol.ArgWait) {
		problem(ctx, fasthttp.StatusBadRequest, "bad watch")
		return
	}
	timer := time.NewTimer(min(time.Duration(max(wait, 0))*time.Millisecond, maxWatch))
	defer timer.Stop()
	for over := false; ; {
		out, gone := s.kv.Changes(prefix, since)
		switch {
		case gone && !s.down:
			problem(ctx, fasthttp.StatusGone, "changes are forgotten")
			return
		case !s.down && (len(out.Events) > 0 || over):
			answer(ctx, fasthttp.StatusOK, out)
			return
		case s.down && over:
			problem(ctx, fasthttp.StatusServiceUnavailable, "trouble")
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer.C:
			over = true
		}
		s.mu.Lock()
	}
}
