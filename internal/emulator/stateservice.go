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

	"pepperlever/internal/httpserver"
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

// StateService serves a KV over HTTP.
type StateService struct {
	limits StateLimits
	start  time.Time

	mu       sync.Mutex
	kv       *KeyValueStore
	down     bool
	file     *stateFile
	changed  chan struct{} // closed and replaced at every change
	requests tokenBucket
	writes   tokenBucket
}

// NewStateService serves the store kept in dir, or one in memory when dir is empty.
func NewStateService(limits StateLimits, dir string) (*StateService, error) {
	s := &StateService{limits: limits, start: time.Now(), kv: NewKeyValueStore(), changed: make(chan struct{})}
	s.requests, s.writes = newTokenBucket(limits.RPS, limits.RPS), newTokenBucket(limits.WriteRPS, limits.WriteRPS)
	if dir == "" {
		return s, nil
	}
	var err error
	s.file, err = openStateFile(dir, s.kv)
	s.kv.ExtendLeases(0)
	return s, err
}

// Close ends the file that the state is kept in.
func (s *StateService) Close() error {
	if s.file == nil {
		return nil
	}
	return s.file.db.Close()
}

// SetDown starts or ends an outage. When one ends, every lease has its full time
// again.
func (s *StateService) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		s.kv.ExtendLeases(s.now())
	}
	s.down = down
}

// countKeys is how many keys begin with prefix, made how many changes were made.
func (s *StateService) countKeys(prefix string) int {
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

func (s *StateService) changeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kv.changeCount
}

func (s *StateService) now() time.Duration { return time.Since(s.start) }

// Run answers on ln until ctx ends.
func (s *StateService) Run(ctx context.Context, ln net.Listener) error {
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

func (s *StateService) expire() {
	if !s.down {
		s.mutate(func() { s.kv.Expire(s.now()) })
	}
}

// mutate runs f, which may change the store, saves what it has changed and wakes
// the watches.
func (s *StateService) mutate(f func()) {
	before := counters{s.kv.revision, s.kv.lastLease}
	f()
	after := counters{s.kv.revision, s.kv.lastLease}
	if after != before && s.file != nil {
		s.file.save(s.kv)
	}
	if after.Revision != before.Revision {
		clear(s.kv.unsavedKeys)
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

func (s *StateService) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.expire()
	path, method := string(ctx.Path()), string(ctx.Method())
	switch {
	case s.down && path == protocol.PathWatch:
		s.watch(ctx)
	case s.down:
		httpserver.WriteProblem(ctx, fasthttp.StatusServiceUnavailable, "trouble")
	case !s.requests.take(now, 1):
		httpserver.WriteProblem(ctx, fasthttp.StatusTooManyRequests, "too many requests")
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
		httpserver.WriteProblem(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

func (s *StateService) get(ctx *fasthttp.RequestCtx, key string) {
	kv, ok := s.kv.Get(key)
	if !ok {
		httpserver.WriteJSON(ctx, fasthttp.StatusNotFound, protocol.TxnResult{Revision: s.kv.revision})
		return
	}
	httpserver.WriteJSON(ctx, fasthttp.StatusOK, kv)
}

func (s *StateService) list(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	limit, err := strconv.Atoi(string(args.Peek(protocol.ArgLimit)))
	if err != nil || limit < 1 {
		limit = maxPage
	}
	httpserver.WriteJSON(ctx, fasthttp.StatusOK, s.kv.List(string(args.Peek(protocol.ArgPrefix)), string(args.Peek(protocol.ArgAfter)), limit))
}

func (s *StateService) txn(ctx *fasthttp.RequestCtx, now time.Duration) {
	var t protocol.Txn
	if err := json.Unmarshal(ctx.PostBody(), &t); err != nil {
		httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, "malformed transaction")
		return
	}
	if why := s.malformed(&t); why != "" {
		httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, why)
		return
	}
	if !s.writes.take(now, float64(len(t.Then))) {
		httpserver.WriteProblem(ctx, fasthttp.StatusTooManyRequests, "too many changes")
		return
	}
	out, ok, noLease := s.kv.Apply(t)
	switch {
	case noLease:
		httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, "no such lease")
	case ok:
		httpserver.WriteJSON(ctx, fasthttp.StatusOK, out)
	default:
		httpserver.WriteJSON(ctx, fasthttp.StatusConflict, out)
	}
}

// malformed tells what is wrong with a transaction, or nothing.
func (s *StateService) malformed(t *protocol.Txn) string {
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
