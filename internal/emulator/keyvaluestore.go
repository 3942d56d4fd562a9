package emulator

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"pepperlever/internal/protocol"
)

// retainedEvents is how many changes the state service remembers for watches.
const retainedEvents = 10_000

// KeyValueStore is the state service without input or output: callers pass the time.
type KeyValueStore struct {
	items    map[string]protocol.KeyValue
	revision uint64
	events   []protocol.Event
	// compactedRevision is the newest revision whose changes are forgotten.
	compactedRevision uint64
	leases            map[uint64]*lease
	lastLease         uint64
	// changeCount counts changes.
	changeCount int
	// unsavedKeys names the keys that have changed since they were last saved.
	unsavedKeys map[string]bool
}

type lease struct {
	ttl, ends time.Duration
}

// NewKeyValueStore makes an empty store.
func NewKeyValueStore() *KeyValueStore {
	return &KeyValueStore{items: map[string]protocol.KeyValue{}, leases: map[uint64]*lease{}, unsavedKeys: map[string]bool{}}
}

// Get reads one key.
func (s *KeyValueStore) Get(key string) (protocol.KeyValue, bool) {
	kv, ok := s.items[key]
	return kv, ok
}

// maxPage and maxPageBytes bound one page of a list.
const (
	maxPage      = 1000
	maxPageBytes = 512 << 10
)

// List reads a page of the keys with a prefix, beginning after a key.
func (s *KeyValueStore) List(prefix, after string, limit int) protocol.KeyList {
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
func (s *KeyValueStore) Apply(t protocol.Txn) (out protocol.TxnResult, ok, noLease bool) {
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
			s.applyChange(ch)
		}
	}
	out.Revision = s.revision
	return out, len(out.Failed) == 0, false
}

// applyChange applies one change at the current revision.
func (s *KeyValueStore) applyChange(ch protocol.Change) {
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
	s.changeCount++
	s.unsavedKeys[e.Put+e.Delete] = true
	if s.events = append(s.events, e); len(s.events) > 2*retainedEvents {
		old := s.events[:len(s.events)-retainedEvents]
		s.compactedRevision = old[len(old)-1].Version
		s.events = slices.Clone(s.events[len(old):])
	}
}

// Changes lists what has changed below a prefix after a revision; gone tells that
// so old a revision is no longer remembered.
func (s *KeyValueStore) Changes(prefix string, since uint64) (out protocol.Changes, gone bool) {
	if since < s.compactedRevision {
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
func (s *KeyValueStore) Grant(now, ttl time.Duration) uint64 {
	s.lastLease++
	s.leases[s.lastLease] = &lease{ttl, now + ttl}
	return s.lastLease
}

// Renew extends a lease.
func (s *KeyValueStore) Renew(now time.Duration, id uint64) bool {
	l := s.leases[id]
	if l != nil {
		l.ends = now + l.ttl
	}
	return l != nil
}

// Revoke ends a lease and deletes its keys.
func (s *KeyValueStore) Revoke(id uint64) bool {
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
		s.applyChange(protocol.Change{Delete: key})
	}
	return true
}

// Expire ends the leases whose time is over.
func (s *KeyValueStore) Expire(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if s.leases[id].ends <= now {
			s.Revoke(id)
		}
	}
}

// ExtendLeases gives every lease its full time again, as after an outage.
func (s *KeyValueStore) ExtendLeases(now time.Duration) {
	for id := range s.leases {
		s.Renew(now, id)
	}
}
