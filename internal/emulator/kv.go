// Package emulator holds stand-ins for what a site needs round its controllers: the
// state service, the cloud, workers and the users' front door, as docs/lab.md
// describes them. They follow the protocol, not any product.
package emulator

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"pepperlever/internal/protocol"
)

// eventsKept is how many changes the state service remembers for watches.
const eventsKept = 10_000

// KV is the state service without input or output: callers pass the time.
type KV struct {
	items    map[string]protocol.KeyValue
	revision uint64
	events   []protocol.Event
	// floor is the newest revision whose changes are forgotten.
	floor  uint64
	leases map[uint64]*lease
	lastID uint64
	// made counts changes.
	made int
	// touched names the keys that have changed since they were last saved.
	touched map[string]bool
}

type lease struct {
	ttl, ends time.Duration
}

// NewKV makes an empty store.
func NewKV() *KV {
	return &KV{items: map[string]protocol.KeyValue{}, leases: map[uint64]*lease{}, touched: map[string]bool{}}
}

// Get reads one key.
func (s *KV) Get(key string) (protocol.KeyValue, bool) {
	kv, ok := s.items[key]
	return kv, ok
}

// maxPage and maxPageBytes bound one page of a list.
const (
	maxPage      = 1000
	maxPageBytes = 512 << 10
)

// List reads a page of the keys with a prefix, beginning after a key.
func (s *KV) List(prefix, after string, limit int) protocol.KeyList {
	out := protocol.KeyList{Items: []protocol.KeyValue{}, Revision: s.revision}
	size := 0
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		kv := s.items[key]
		size += len(key) + len(kv.Value) + 64
		if len(out.Items) == min(limit, maxPage) || size > maxPageBytes {
			out.More = true
			break
		}
		out.Items = append(out.Items, kv)
	}
	return out
}

// Apply carries out a transaction, whole or not at all. ok is false when a
// condition failed; noLease tells of a write under a lease that has ended.
func (s *KV) Apply(t protocol.Txn) (out protocol.TxnResult, ok, noLease bool) {
	for _, ch := range t.Then {
		if ch.Lease != 0 && s.leases[ch.Lease] == nil {
			return out, false, true
		}
	}
	for _, c := range t.If {
		if s.items[c.Key].Version != c.Version {
			out.Failed = append(out.Failed, c.Key)
		}
	}
	if len(out.Failed) == 0 && len(t.Then) > 0 {
		s.revision++
		for _, ch := range t.Then {
			s.change(ch)
		}
	}
	out.Revision = s.revision
	return out, len(out.Failed) == 0, false
}

// change applies one change at the current revision.
func (s *KV) change(ch protocol.Change) {
	e := protocol.Event{Version: s.revision}
	if ch.Delete != "" {
		if _, there := s.items[ch.Delete]; !there {
			return
		}
		delete(s.items, ch.Delete)
		e.Delete = ch.Delete
	} else {
		s.items[ch.Put] = protocol.KeyValue{Key: ch.Put, Value: ch.Value, Version: s.revision, Lease: ch.Lease}
		e.Put, e.Value = ch.Put, ch.Value
	}
	s.made++
	s.touched[e.Put+e.Delete] = true
	if s.events = append(s.events, e); len(s.events) > 2*eventsKept {
		old := s.events[:len(s.events)-eventsKept]
		s.floor = old[len(old)-1].Version
		s.events = slices.Clone(s.events[len(old):])
	}
}

// Changes lists what has changed below a prefix after a revision; gone tells that
// so old a revision is no longer remembered.
func (s *KV) Changes(prefix string, since uint64) (out protocol.Changes, gone bool) {
	if since < s.floor {
		return out, true
	}
	out.Revision, out.Events = s.revision, []protocol.Event{}
	from, _ := slices.BinarySearchFunc(s.events, since+1, func(e protocol.Event, v uint64) int { return cmp.Compare(e.Version, v) })
	for _, e := range s.events[from:] {
		if strings.HasPrefix(e.Put+e.Delete, prefix) {
			out.Events = append(out.Events, e)
		}
	}
	return out, false
}

// Grant gives a lease, Renew extends it and Revoke ends it. Renew and Revoke tell
// whether there was one.
func (s *KV) Grant(now, ttl time.Duration) uint64 {
	s.lastID++
	s.leases[s.lastID] = &lease{ttl, now + ttl}
	return s.lastID
}

// Renew extends a lease.
func (s *KV) Renew(now time.Duration, id uint64) bool {
	l := s.leases[id]
	if l != nil {
		l.ends = now + l.ttl
	}
	return l != nil
}

// Revoke ends a lease and deletes its keys.
func (s *KV) Revoke(id uint64) bool {
	if s.leases[id] == nil {
		return false
	}
	delete(s.leases, id)
	var bound []string
	for key, kv := range s.items {
		if kv.Lease == id {
			bound = append(bound, key)
		}
	}
	if len(bound) > 0 {
		s.revision++
	}
	slices.Sort(bound)
	for _, key := range bound {
		s.change(protocol.Change{Delete: key})
	}
	return true
}

// Expire ends the leases whose time is over.
func (s *KV) Expire(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if s.leases[id].ends <= now {
			s.Revoke(id)
		}
	}
}

// Extend gives every lease its full time again, as after an outage.
func (s *KV) Extend(now time.Duration) {
	for id := range s.leases {
		s.Renew(now, id)
	}
}
