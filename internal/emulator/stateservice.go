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

// StateLimits holds the limits of the state service.
type StateLimits struct {
	// RPS and WriteRPS limit requests and changes per second, with bursts of one second's
	// worth. ValueKB limits the size of a value in KiB and TxnOps the number of changes in a
	// transaction.
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// StateService serves a KeyValueStore over HTTP and enforces the limits.
type StateService struct {
	limits StateLimits
	start  time.Time

	mu       sync.Mutex
	kv       *KeyValueStore
	down     bool
	file     *stateFile
	changed  chan struct{} // closed and replaced at each change
	requests tokenBucket
	writes   tokenBucket
}

// NewStateService returns a state service that persists its store in dir, or keeps it only in
// memory if dir is empty.
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

// Close closes the state file.
func (s *StateService) Close() error {
	if s.file == nil {
		return nil
	}
	return s.file.db.Close()
}

// SetDown starts or ends an outage. At the end of an outage all leases are renewed.
func (s *StateService) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		s.kv.ExtendLeases(s.now())
	}
	s.down = down
}

// countKeys returns the number of keys that begin with prefix.
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

// changeCount returns the number of changes made so far.
func (s *StateService) changeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.kv.changeCount
}

// now returns the time since the service was created, which is the clock of the store.
func (s *StateService) now() time.Duration { return time.Since(s.start) }

// Run serves requests on ln and expires leases until ctx ends.
func (s *StateService) Run(ctx context.Context, ln net.Listener) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return serve(ctx, ln, s.handle) })
	group.Go(func() error {
		return runEvery(ctx, leaseCheckInterval, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.expireLeases()
		})
	})
	return group.Wait()
}

// leaseCheckInterval is how often leases are checked, and thus how late a lease may expire.
const leaseCheckInterval = 50 * time.Millisecond

// expireLeases removes expired leases, but not during an outage, when they cannot be renewed.
// The caller holds s.mu.
func (s *StateService) expireLeases() {
	if !s.down {
		s.mutate(func() { s.kv.Expire(s.now()) })
	}
}

// mutate calls a function that may change the store, saves the changes and wakes the
// watches. The caller holds s.mu.
func (s *StateService) mutate(change func()) {
	before := counters{s.kv.revision, s.kv.lastLeaseID}
	change()
	after := counters{s.kv.revision, s.kv.lastLeaseID}
	if after != before && s.file != nil {
		s.file.save(s.kv)
	}
	if after.Revision != before.Revision {
		clear(s.kv.unsavedKeys)
		close(s.changed)
		s.changed = make(chan struct{})
	}
}

// handle dispatches a request. It holds s.mu, which a watch releases while it waits.
func (s *StateService) handle(ctx *fasthttp.RequestCtx) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.expireLeases()
	path, method := string(ctx.Path()), string(ctx.Method())
	switch {
	case s.down && path == protocol.PathWatch:
		s.handleWatch(ctx)
	case s.down:
		httpserver.WriteProblem(ctx, fasthttp.StatusServiceUnavailable, "trouble")
	case !s.requests.take(now, 1):
		httpserver.WriteProblem(ctx, fasthttp.StatusTooManyRequests, "too many requests")
	case path == protocol.PathTxn && method == fasthttp.MethodPost:
		s.mutate(func() { s.handleTxn(ctx, now) })
	case path == protocol.PathWatch && method == fasthttp.MethodGet:
		s.handleWatch(ctx)
	case path == protocol.PathKV && method == fasthttp.MethodGet:
		s.handleList(ctx)
	case strings.HasPrefix(path, protocol.PathKV+"/") && method == fasthttp.MethodGet:
		s.handleGet(ctx, strings.TrimPrefix(path, protocol.PathKV+"/"))
	case path == protocol.PathLeases || strings.HasPrefix(path, protocol.PathLeases+"/"):
		s.mutate(func() { s.handleLease(ctx, method, strings.TrimPrefix(path, protocol.PathLeases), now) })
	default:
		httpserver.WriteProblem(ctx, fasthttp.StatusNotFound, "no such path")
	}
}

// handleGet returns one key.
func (s *StateService) handleGet(ctx *fasthttp.RequestCtx, key string) {
	kv, ok := s.kv.Get(key)
	if !ok {
		httpserver.WriteJSON(ctx, fasthttp.StatusNotFound, protocol.TxnResult{Revision: s.kv.revision})
		return
	}
	httpserver.WriteJSON(ctx, fasthttp.StatusOK, kv)
}

// handleList returns a page of keys.
func (s *StateService) handleList(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	limit, err := strconv.Atoi(string(args.Peek(protocol.ArgLimit)))
	if err != nil || limit < 1 {
		limit = maxPageKeys
	}
	httpserver.WriteJSON(ctx, fasthttp.StatusOK, s.kv.List(string(args.Peek(protocol.ArgPrefix)), string(args.Peek(protocol.ArgAfter)), limit))
}

// handleTxn validates and applies a transaction.
func (s *StateService) handleTxn(ctx *fasthttp.RequestCtx, now time.Duration) {
	var request protocol.Txn
	if err := json.Unmarshal(ctx.PostBody(), &request); err != nil {
		httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, "malformed transaction")
		return
	}
	if problem := s.validateTxn(&request); problem != "" {
		httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, problem)
		return
	}
	if !s.writes.take(now, float64(len(request.Then))) {
		httpserver.WriteProblem(ctx, fasthttp.StatusTooManyRequests, "too many changes")
		return
	}
	result, ok, leaseNotFound := s.kv.Apply(request)
	switch {
	case leaseNotFound:
		httpserver.WriteProblem(ctx, fasthttp.StatusBadRequest, "no such lease")
	case ok:
		httpserver.WriteJSON(ctx, fasthttp.StatusOK, result)
	default:
		httpserver.WriteJSON(ctx, fasthttp.StatusConflict, result)
	}
}

// validateTxn returns what is wrong with a transaction, or "" if it is valid.
func (s *StateService) validateTxn(t *protocol.Txn) string {
	if len(t.Then) > s.limits.TxnOps || len(t.If) > 4*s.limits.TxnOps {
		return "transaction is too long"
	}
	for _, condition := range t.If {
		if !validKey(condition.Key) {
			return "bad key"
		}
	}
	for _, change := range t.Then {
		switch {
		case (change.Put == "") == (change.Delete == "") || !validKey(change.Put+change.Delete):
			return "bad key"
		case change.Put != "" && len(change.Value) == 0:
			return "value is missing"
		case float64(len(change.Value)) > s.limits.ValueKB*1024:
			return "value is too long"
		}
	}
	return ""
}

// validKey reports whether a key has an allowed length and contains no whitespace.
func validKey(key string) bool {
	return len(key) >= 1 && len(key) <= 200 && !strings.ContainsAny(key, " \t\n")
}
