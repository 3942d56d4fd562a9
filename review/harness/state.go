package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// State is a stand-in for the state service, as PROTOCOL describes it. Every controller has an
// address of its own, so that the stand-in knows who asks.
type State struct {
	mu       sync.Mutex
	items    map[string]*kvItem
	tick     uint64
	events   []kvEvent
	leases   map[uint64]*kvLease
	nextID   uint64
	changed  chan struct{}
	valueKB  float64
	txnOps   int
	requests *bucket
	writes   *bucket
	tooLong  int
	down     bool // an outage
	// downAfter, if set, begins an outage right after a transaction that it returns true for.
	downAfter func(txn *kvTxn) bool
	rec       func(format string, args ...any)
	refused   map[string]bool // controllers that get 503, alone
	// beforeTxn, if set, is called before a transaction is carried out, and may wait: a slow
	// answer. beforeList is called before a page is read, afterList after that and before the
	// page is sent.
	beforeTxn  func(node string, txn *kvTxn)
	beforeList func(node, since string)
	afterList  func(node, since string)
}

type kvItem struct {
	K        string          `json:"k"`
	Value    json.RawMessage `json:"value"`
	LastTick uint64          `json:"lastTick"`
	Hold     uint64          `json:"hold,omitempty"`
}

type kvEvent struct {
	Write    string          `json:"write,omitempty"`
	Drop     string          `json:"drop,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
	LastTick uint64          `json:"lastTick"`
}

type kvLease struct {
	life time.Duration
	ends time.Time
}

type kvTxn struct {
	If []struct {
		K        string `json:"k"`
		LastTick uint64 `json:"lastTick"`
	} `json:"if"`
	Then []struct {
		Write string          `json:"write"`
		Value json.RawMessage `json:"value"`
		Hold  uint64          `json:"hold"`
		Drop  string          `json:"drop"`
	} `json:"then"`
}

// drops reports whether the transaction deletes a key.
func (t *kvTxn) drops(key string) bool {
	for _, c := range t.Then {
		if c.Drop == key {
			return true
		}
	}
	return false
}

// writes reports whether the transaction writes a key.
func (t *kvTxn) writes(key string) bool {
	for _, c := range t.Then {
		if c.Write == key {
			return true
		}
	}
	return false
}

// bucket allows rate units a second, and bursts.
type bucket struct {
	rate, burst, have float64
	at                time.Time
}

func newBucket(rate, burst float64) *bucket {
	return &bucket{rate: rate, burst: burst, have: burst, at: time.Now()}
}

func (b *bucket) take(n float64) bool {
	now := time.Now()
	b.have = min(b.burst, b.have+now.Sub(b.at).Seconds()*b.rate)
	b.at = now
	if b.have < n && b.have < b.burst {
		return false
	}
	b.have -= n
	return true
}

func newState(rps, writeRPS, valueKB float64, txnOps int) *State {
	s := &State{items: map[string]*kvItem{}, leases: map[uint64]*kvLease{}, changed: make(chan struct{}), valueKB: valueKB, txnOps: txnOps,
		requests: newBucket(rps, rps), writes: newBucket(writeRPS, writeRPS), refused: map[string]bool{}}
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *State) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *State) expire() {
	if s.down {
		return
	}
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.ends) {
			s.endLease(id)
		}
	}
}

func (s *State) endLease(id uint64) {
	delete(s.leases, id)
	var keys []string
	for k, item := range s.items {
		if item.Hold == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	sort.Strings(keys)
	s.tick++
	for _, k := range keys {
		delete(s.items, k)
		s.events = append(s.events, kvEvent{Drop: k, LastTick: s.tick})
	}
	s.wake()
}

// setRefused starts or ends a spell in which one controller alone gets 503.
func (s *State) setRefused(node string, refused bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused[node] = refused
	s.wake()
}

// up ends an outage: every lease has its full time again.
func (s *State) up() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = false
	for _, l := range s.leases {
		l.ends = time.Now().Add(l.life)
	}
	s.wake()
	s.rec("state service: up again")
}

// lower puts lower limits in force.
func (s *State) lower(writeRPS, valueKB float64, txnOps int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes, s.valueKB, s.txnOps = newBucket(writeRPS, writeRPS), valueKB, txnOps
}

// get returns the value of a key, or nil.
func (s *State) get(key string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	if item := s.items[key]; item != nil {
		return item.Value
	}
	return nil
}

// met reports whether the conditions of a transaction are met now and its leases live.
func (s *State) met(txn *kvTxn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range txn.Then {
		if c.Hold != 0 && s.leases[c.Hold] == nil {
			return false
		}
	}
	return len(s.failed(txn)) == 0
}

// failed returns the keys whose condition isn't met. The caller holds s.mu.
func (s *State) failed(txn *kvTxn) []string {
	failed := []string{}
	for _, c := range txn.If {
		var tick uint64
		if item := s.items[c.K]; item != nil {
			tick = item.LastTick
		}
		if tick != c.LastTick {
			failed = append(failed, c.K)
		}
	}
	return failed
}

// count returns the number of keys with a prefix.
func (s *State) count(prefix string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for k := range s.items {
		if strings.HasPrefix(k, prefix) {
			n++
		}
	}
	return n
}

func (s *State) handler(node string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		path := r.URL.Path
		s.mu.Lock()
		if (s.refused[node] || s.down) && path != "/changes" {
			s.mu.Unlock()
			answer(w, 503, map[string]any{"error": "trouble"})
			return
		}
		if !s.requests.take(1) {
			s.mu.Unlock()
			answer(w, 429, map[string]any{"error": "too many requests"})
			return
		}
		s.mu.Unlock()
		switch {
		case path == "/multi" && r.Method == "POST":
			s.multi(w, r, node)
		case path == "/changes":
			s.changes(w, r, node)
		case path == "/kv":
			s.list(w, r, node)
		case strings.HasPrefix(path, "/kv/"):
			s.mu.Lock()
			item := s.items[strings.TrimPrefix(path, "/kv/")]
			tick := s.tick
			s.mu.Unlock()
			if item == nil {
				answer(w, 404, map[string]any{"ledgerTick": tick})
			} else {
				answer(w, 200, item)
			}
		case strings.HasPrefix(path, "/holds"):
			s.holds(w, r)
		default:
			answer(w, 400, map[string]any{"error": "no such path"})
		}
	})
}

func (s *State) holds(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	if len(parts) == 1 {
		var in struct {
			LifeMs int64 `json:"lifeMs"`
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil || in.LifeMs < 100 || in.LifeMs > 600000 {
			answer(w, 400, map[string]any{"error": "bad life"})
			return
		}
		s.nextID++
		life := time.Duration(in.LifeMs) * time.Millisecond
		s.leases[s.nextID] = &kvLease{life, time.Now().Add(life)}
		answer(w, 200, map[string]any{"hold": s.nextID})
		return
	}
	id, _ := strconv.ParseUint(parts[1], 10, 64)
	l := s.leases[id]
	switch {
	case l == nil:
		answer(w, 404, map[string]any{"error": "no such lease"})
	case r.Method == "DELETE":
		s.endLease(id)
		answer(w, 200, map[string]any{})
	default:
		l.ends = time.Now().Add(l.life)
		answer(w, 200, map[string]any{"hold": id})
	}
}

func (s *State) list(w http.ResponseWriter, r *http.Request, node string) {
	q := r.URL.Query()
	prefix, since := q.Get("starts"), q.Get("since")
	page, err := strconv.Atoi(q.Get("page"))
	if err != nil || page < 1 || page > 1000 {
		page = 1000
	}
	if s.beforeList != nil {
		s.beforeList(node, since)
	}
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > since {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	rows, size, truncated := []*kvItem{}, 0, false
	for _, k := range keys {
		item := *s.items[k]
		size += len(k) + len(item.Value) + 64
		if len(rows) == page || size > 512<<10 {
			truncated = true
			break
		}
		rows = append(rows, &item)
	}
	tick := s.tick
	s.mu.Unlock()
	if s.afterList != nil {
		s.afterList(node, since)
	}
	answer(w, 200, map[string]any{"rows": rows, "truncated": truncated, "ledgerTick": tick})
}

func (s *State) changes(w http.ResponseWriter, r *http.Request, node string) {
	q := r.URL.Query()
	prefix := q.Get("starts")
	since, _ := strconv.ParseUint(q.Get("since"), 10, 64)
	holdMs, _ := strconv.ParseInt(q.Get("holdMs"), 10, 64)
	deadline := time.Now().Add(time.Duration(min(holdMs, 60000)) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if !s.refused[node] && !s.down {
			first := sort.Search(len(s.events), func(i int) bool { return s.events[i].LastTick > since })
			out := []kvEvent{}
			for _, e := range s.events[first:] {
				if strings.HasPrefix(e.Write+e.Drop, prefix) {
					out = append(out, e)
				}
			}
			if len(out) > 0 || !time.Now().Before(deadline) {
				answer(w, 200, map[string]any{"ledgerTick": s.tick, "events": out})
				return
			}
		}
		changed := s.changed
		s.mu.Unlock()
		wait := time.Until(deadline)
		if wait <= 0 { // a refused controller: the watch stays open
			wait = 100 * time.Millisecond
		}
		select {
		case <-changed:
		case <-time.After(wait):
		case <-r.Context().Done():
			s.mu.Lock()
			return
		}
		s.mu.Lock()
	}
}

func (s *State) multi(w http.ResponseWriter, r *http.Request, node string) {
	var txn kvTxn
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&txn); err != nil {
		answer(w, 400, map[string]any{"error": "malformed: " + err.Error()})
		return
	}
	if s.beforeTxn != nil {
		s.beforeTxn(node, &txn)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(txn.Then) > s.txnOps || len(txn.If) > 4*s.txnOps {
		s.tooLong++
		if s.tooLong <= 5 || s.tooLong%100 == 0 {
			s.rec("state service: 400 to %s (the %dth): %d changes and %d conditions, %d and %d allowed", node, s.tooLong, len(txn.Then), len(txn.If), s.txnOps, 4*s.txnOps)
		}
		answer(w, 400, map[string]any{"error": "transaction is too long"})
		return
	}
	for _, c := range txn.Then {
		if float64(len(c.Value)) > s.valueKB*1024 {
			answer(w, 400, map[string]any{"error": "value is too long"})
			return
		}
	}
	if !s.writes.take(float64(len(txn.Then))) {
		answer(w, 429, map[string]any{"error": "too many changes"})
		return
	}
	s.expire()
	for _, c := range txn.Then {
		if c.Hold != 0 && s.leases[c.Hold] == nil {
			answer(w, 400, map[string]any{"error": "no such lease"})
			return
		}
	}
	failed := s.failed(&txn)
	if len(failed) > 0 {
		answer(w, 409, map[string]any{"failed": failed, "ledgerTick": s.tick})
		return
	}
	if s.down {
		answer(w, 503, map[string]any{"error": "trouble"})
		return
	}
	if s.downAfter != nil && s.downAfter(&txn) {
		s.down = true
		s.rec("state service: down, after a transaction of %s", node)
	}
	if len(txn.Then) > 0 {
		s.tick++
		for _, c := range txn.Then {
			if c.Drop != "" {
				if s.items[c.Drop] != nil {
					delete(s.items, c.Drop)
					s.events = append(s.events, kvEvent{Drop: c.Drop, LastTick: s.tick})
				}
				continue
			}
			s.items[c.Write] = &kvItem{K: c.Write, Value: c.Value, LastTick: s.tick, Hold: c.Hold}
			s.events = append(s.events, kvEvent{Write: c.Write, Value: c.Value, LastTick: s.tick})
		}
		s.wake()
	}
	answer(w, 200, map[string]any{"ledgerTick": s.tick})
}

func answer(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(fmt.Sprint("answer: ", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(raw)
}
