package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"pepperlever/internal/emulator"
	"pepperlever/internal/protocol"
)

// stateService serves a key-value store by the protocol, with the limits of the settings. Each
// controller has an address of its own.
type stateService struct {
	w  *world
	mu sync.Mutex
	kv *emulator.KeyValueStore
	// down is set during an outage.
	down bool
	// downAfterCancel starts an outage once the next cancellation is stored.
	downAfterCancel bool
	changed         chan struct{}
	writes          bucket
	reqs            bucket
}

// bucket is a token bucket that holds one second's worth.
type bucket struct {
	rate, tokens float64
	at           time.Time
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	if b.at.IsZero() {
		b.tokens = b.rate
	} else {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.at).Seconds())
	}
	b.at = now
	if b.tokens < n {
		return false
	}
	b.tokens -= n
	return true
}

func newStateService(w *world) *stateService {
	s := &stateService{w: w, kv: emulator.NewKeyValueStore(), changed: make(chan struct{})}
	s.writes.rate, s.reqs.rate = w.cfg.writeRPS, w.cfg.rps
	go func() {
		for w.ctx.Err() == nil {
			time.Sleep(30 * time.Millisecond)
			s.mu.Lock()
			if !s.down {
				before := s.kv.List("", "", 1).Revision
				s.kv.Expire(w.now())
				if s.kv.List("", "", 1).Revision != before {
					s.wake()
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

// wake ends the open watches' wait. The caller holds the lock.
func (s *stateService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func reply(rw http.ResponseWriter, status int, body any) {
	raw, _ := json.Marshal(body)
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_, _ = rw.Write(raw)
}

func problem(rw http.ResponseWriter, status int, text string) {
	reply(rw, status, map[string]string{"error": text})
}

// handler returns the handler of the requests of one controller.
func (s *stateService) handler(node int) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case r.URL.Path == "/changes":
			s.watch(rw, r)
		case s.down:
			problem(rw, 503, "trouble")
		case !s.reqs.take(1):
			problem(rw, 429, "too many requests")
		case r.URL.Path == "/multi":
			s.multi(rw, body, node)
		case r.URL.Path == "/kv":
			limit, err := strconv.Atoi(r.URL.Query().Get("page"))
			if err != nil || limit < 1 {
				limit = 1000
			}
			reply(rw, 200, s.kv.List(r.URL.Query().Get("starts"), r.URL.Query().Get("since"), limit))
		case strings.HasPrefix(r.URL.Path, "/kv/"):
			item, found := s.kv.Get(strings.TrimPrefix(r.URL.Path, "/kv/"))
			if !found {
				reply(rw, 404, map[string]uint64{"ledgerTick": s.kv.List("", "", 1).Revision})
				return
			}
			reply(rw, 200, item)
		case strings.HasPrefix(r.URL.Path, "/holds"):
			s.holds(rw, r, body)
		default:
			problem(rw, 400, "no such path")
		}
	})
}

// watch answers a watch. During an outage it stays open.
func (s *stateService) watch(rw http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		problem(rw, 400, "malformed")
		return
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("holdMs"))
	if !s.down && !s.reqs.take(1) {
		problem(rw, 429, "too many requests")
		return
	}
	prefix := r.URL.Query().Get("starts")
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		if !s.down {
			changes, compacted := s.kv.Changes(prefix, since)
			if compacted {
				problem(rw, 410, "too old")
				return
			}
			if len(changes.Events) > 0 || wait == 0 {
				reply(rw, 200, changes)
				return
			}
		}
		changed := s.changed
		s.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond):
		case <-deadline:
			over = true
		case <-r.Context().Done():
			over = true
		}
		s.mu.Lock()
		if over && !s.down {
			changes, _ := s.kv.Changes(prefix, since)
			reply(rw, 200, changes)
			return
		}
		if r.Context().Err() != nil {
			return
		}
	}
}

func (s *stateService) multi(rw http.ResponseWriter, body []byte, node int) {
	var txn protocol.Txn
	if json.Unmarshal(body, &txn) != nil || len(body) > 64<<10 {
		problem(rw, 400, "malformed")
		return
	}
	if len(txn.Then) > s.w.cfg.txnOps || len(txn.If) > 4*s.w.cfg.txnOps {
		s.w.rec.add("state service: 400 to hand-%d: transaction with %d changes and %d conditions (at most %d and %d)",
			node, len(txn.Then), len(txn.If), s.w.cfg.txnOps, 4*s.w.cfg.txnOps)
		problem(rw, 400, "transaction is too long")
		return
	}
	for _, change := range txn.Then {
		if float64(len(change.Value)) > s.w.cfg.valueKB*1024 {
			s.w.rec.add("state service: 400 to hand-%d: value of %d bytes", node, len(change.Value))
			problem(rw, 400, "value is too long")
			return
		}
	}
	if !s.writes.take(float64(len(txn.Then))) {
		problem(rw, 429, "too many changes")
		return
	}
	result, ok, noLease := s.kv.Apply(txn)
	switch {
	case noLease:
		problem(rw, 400, "no such lease")
	case !ok:
		reply(rw, 409, result)
	default:
		if len(txn.Then) > 0 {
			s.wake()
		}
		reply(rw, 200, result)
		if s.downAfterCancel && slices.ContainsFunc(txn.Then, func(c protocol.Change) bool { return strings.HasPrefix(c.Put, "j/c/") }) {
			s.downAfterCancel, s.down = false, true
			s.w.rec.add("TROUBLE begins: the state service is down, just after it has stored the cancellation")
		}
	}
}

func (s *stateService) holds(rw http.ResponseWriter, r *http.Request, body []byte) {
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 {
		var grant struct {
			LifeMs int64 `json:"lifeMs"`
		}
		if json.Unmarshal(body, &grant) != nil || grant.LifeMs < 100 || grant.LifeMs > 600_000 {
			problem(rw, 400, "malformed")
			return
		}
		reply(rw, 200, map[string]uint64{"hold": s.kv.Grant(s.w.now(), time.Duration(grant.LifeMs)*time.Millisecond)})
		return
	}
	id, _ := strconv.ParseUint(parts[1], 10, 64)
	found := false
	if len(parts) == 3 {
		found = s.kv.Renew(s.w.now(), id)
	} else {
		found = s.kv.Revoke(id)
		s.wake()
	}
	if !found {
		problem(rw, 404, "no such lease")
		return
	}
	reply(rw, 200, map[string]uint64{"hold": id})
}
