package emulator

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"pepperlever/internal/protocol"
)

// retainedEvents is the number of the latest events that are kept for watches when older ones
// are discarded.
const retainedEvents = 10_000

// KeyValueStore implements the state service's semantics. It does no I/O; callers pass the
// current time.
type KeyValueStore struct {
	items    map[string]protocol.KeyValue
	revision uint64
	events   []protocol.Event
	// compactedRevision is the newest revision whose events have been discarded.
	compactedRevision uint64
	leases            map[uint64]*lease
	lastLeaseID       uint64
	// changeCount counts all writes and deletions of keys.
	changeCount int
	// unsavedKeys holds the keys that have changed since the last save.
	unsavedKeys map[string]bool
}

// lease is a lease that keys can be bound to.
type lease struct {
	ttl, expiresAt time.Duration
}

// NewKeyValueStore returns an empty store.
func NewKeyValueStore() *KeyValueStore {
	return &KeyValueStore{items: map[string]protocol.KeyValue{}, leases: map[uint64]*lease{}, unsavedKeys: map[string]bool{}}
}

// Get returns a key's value and whether the key exists.
func (s *KeyValueStore) Get(key string) (protocol.KeyValue, bool) {
	kv, ok := s.items[key]
	return kv, ok
}

// maxPageKeys and maxPageBytes bound one page of a list.
const (
	maxPageKeys  = 1000
	maxPageBytes = 512 << 10
)

// List returns a page of the keys that begin with prefix and are greater than after.
func (s *KeyValueStore) List(prefix, after string, limit int) protocol.KeyList {
	page := protocol.KeyList{Items: []protocol.KeyValue{}, Revision: s.revision}
	sizeBytes := 0
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if !strings.HasPrefix(key, prefix) || key <= after {
			continue
		}
		kv := s.items[key]
		sizeBytes += len(key) + len(kv.Value) + 64
		if len(page.Items) == min(limit, maxPageKeys) || sizeBytes > maxPageBytes {
			page.More = true
			break
		}
		page.Items = append(page.Items, kv)
	}
	return page
}

// Apply applies a transaction atomically. ok is false if it was not applied, either because a
// condition failed or because it writes under a lease that does not exist. leaseNotFound is true
// in the second case.
func (s *KeyValueStore) Apply(txn protocol.Txn) (result protocol.TxnResult, ok, leaseNotFound bool) {
	for _, change := range txn.Then {
		if change.Lease != 0 && s.leases[change.Lease] == nil {
			return result, false, true
		}
	}
	for _, condition := range txn.If {
		if s.items[condition.Key].Version != condition.Version {
			result.Failed = append(result.Failed, condition.Key)
		}
	}
	if len(result.Failed) == 0 && len(txn.Then) > 0 {
		s.revision++
		for _, change := range txn.Then {
			s.applyChange(change)
		}
	}
	result.Revision = s.revision
	return result, len(result.Failed) == 0, false
}

// applyChange applies one change at the current revision and records its event. Deleting a
// key that does not exist has no effect.
func (s *KeyValueStore) applyChange(change protocol.Change) {
	event := protocol.Event{Version: s.revision}
	if change.Delete != "" {
		if _, exists := s.items[change.Delete]; !exists {
			return
		}
		delete(s.items, change.Delete)
		event.Delete = change.Delete
	} else {
		s.items[change.Put] = protocol.KeyValue{Key: change.Put, Value: change.Value, Version: s.revision, Lease: change.Lease}
		event.Put, event.Value = change.Put, change.Value
	}
	s.changeCount++
	s.unsavedKeys[event.Put+event.Delete] = true
	if s.events = append(s.events, event); len(s.events) > 2*retainedEvents {
		discarded := s.events[:len(s.events)-retainedEvents]
		s.compactedRevision = discarded[len(discarded)-1].Version
		s.events = slices.Clone(s.events[len(discarded):])
	}
}

// Changes returns the events under prefix after the revision since. compacted reports
// whether events after that revision have been discarded.
func (s *KeyValueStore) Changes(prefix string, since uint64) (out protocol.Changes, compacted bool) {
	if since < s.compactedRevision {
		return out, true
	}
	out.Revision, out.Events = s.revision, []protocol.Event{}
	first, _ := slices.BinarySearchFunc(s.events, since+1, func(event protocol.Event, firstRevision uint64) int { return cmp.Compare(event.Version, firstRevision) })
	for _, event := range s.events[first:] {
		if strings.HasPrefix(event.Put+event.Delete, prefix) {
			out.Events = append(out.Events, event)
		}
	}
	return out, false
}

// Grant creates a lease and returns its id.
func (s *KeyValueStore) Grant(now, ttl time.Duration) uint64 {
	s.lastLeaseID++
	s.leases[s.lastLeaseID] = &lease{ttl, now + ttl}
	return s.lastLeaseID
}

// Renew extends a lease by its full TTL and reports whether it exists.
func (s *KeyValueStore) Renew(now time.Duration, id uint64) bool {
	l := s.leases[id]
	if l != nil {
		l.expiresAt = now + l.ttl
	}
	return l != nil
}

// Revoke deletes a lease and the keys bound to it, and reports whether it existed.
func (s *KeyValueStore) Revoke(id uint64) bool {
	if s.leases[id] == nil {
		return false
	}
	delete(s.leases, id)
	var leasedKeys []string
	for key, kv := range s.items {
		if kv.Lease == id {
			leasedKeys = append(leasedKeys, key)
		}
	}
	if len(leasedKeys) > 0 {
		s.revision++
	}
	slices.Sort(leasedKeys)
	for _, key := range leasedKeys {
		s.applyChange(protocol.Change{Delete: key})
	}
	return true
}

// Expire revokes the leases that have expired.
func (s *KeyValueStore) Expire(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		if s.leases[id].expiresAt <= now {
			s.Revoke(id)
		}
	}
}

// ExtendLeases renews all leases, since their holders could not renew them during an outage.
func (s *KeyValueStore) ExtendLeases(now time.Duration) {
	for id := range s.leases {
		s.Renew(now, id)
	}
}
