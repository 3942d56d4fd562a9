package emulator

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/segmentio/encoding/json"
	"pgregory.net/rapid"

	"pepperlever/internal/protocol"
	"pepperlever/internal/testseed"
)

// TestMain fixes the seed of the property tests. -rapid.seed and -rapid.checks override it to
// search further.
func TestMain(m *testing.M) { os.Exit(testseed.Run(m, nil)) }

// watcherView is the state as seen by a watcher that has listed the store and then followed
// its changes.
type watcherView struct {
	items    map[string]protocol.KeyValue
	revision uint64
}

// list reads the whole store page by page.
func (r *watcherView) list(s *KeyValueStore) {
	*r = watcherView{items: map[string]protocol.KeyValue{}}
	for after := ""; ; {
		page := s.List("", after, 3)
		r.revision = page.Revision
		for _, kv := range page.Items {
			r.items[kv.Key] = kv
			after = kv.Key
		}
		if !page.More {
			return
		}
	}
}

// follow applies the changes since the last call. It returns false if they were discarded.
func (r *watcherView) follow(s *KeyValueStore) bool {
	ch, gone := s.Changes("", r.revision)
	if gone {
		return false
	}
	for _, e := range ch.Events {
		if e.Delete != "" {
			delete(r.items, e.Delete)
		} else {
			r.items[e.Put] = protocol.KeyValue{Key: e.Put, Value: e.Value, Version: e.Version, Lease: s.items[e.Put].Lease}
		}
	}
	r.revision = ch.Revision
	return true
}

// TestStoreInvariants checks that random operations on the store keep its invariants: a watcher
// sees what is stored, a transaction is atomic, and a key is deleted with its lease.
func TestStoreInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewKeyValueStore()
		var leases []uint64
		now := time.Duration(0)
		var watcher watcherView
		watcher.list(s)
		key := rapid.SampledFrom([]string{"a", "b/1", "b/2", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"txn": func(t *rapid.T) {
				var txn protocol.Txn
				conditionsHold := true
				for range rapid.IntRange(0, 2).Draw(t, "conditions") {
					k := key.Draw(t, "key")
					v := s.items[k].Version
					if rapid.IntRange(0, 3).Draw(t, "wrong") == 0 {
						v++
						conditionsHold = false
					}
					txn.If = append(txn.If, protocol.Condition{Key: k, Version: v})
				}
				leaseEnded := false
				for i := range rapid.IntRange(0, 3).Draw(t, "changes") {
					ch := protocol.Change{Put: key.Draw(t, "key"), Value: json.RawMessage(fmt.Sprint(i))}
					if rapid.Bool().Draw(t, "delete") {
						ch = protocol.Change{Delete: ch.Put}
					} else if len(leases) > 0 && rapid.Bool().Draw(t, "leased") {
						ch.Lease = rapid.SampledFrom(leases).Draw(t, "lease")
						leaseEnded = leaseEnded || s.leases[ch.Lease] == nil
					}
					txn.Then = append(txn.Then, ch)
				}
				before := s.revision
				_, ok, noLease := s.Apply(txn)
				if noLease != leaseEnded {
					t.Fatalf("got lease not found %v, want %v", noLease, leaseEnded)
				}
				if !noLease && ok != conditionsHold {
					t.Fatalf("got applied %v, want %v", ok, conditionsHold)
				}
				if !ok && s.revision != before {
					t.Fatalf("a failed transaction changed the revision")
				}
			},
			"grant": func(t *rapid.T) { leases = append(leases, s.Grant(now, time.Second)) },
			"expire": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
				s.Expire(now)
			},
			"renew": func(t *rapid.T) {
				if len(leases) > 0 {
					id := rapid.SampledFrom(leases).Draw(t, "lease")
					if live := s.leases[id] != nil; s.Renew(now, id) != live {
						t.Fatalf("renewal of lease %d does not report whether the lease exists", id)
					}
				}
			},
			"": func(t *rapid.T) {
				if !watcher.follow(s) {
					t.Fatalf("changes since the last call were discarded")
				}
				if diff := cmp.Diff(s.items, watcher.items); diff != "" {
					t.Fatalf("watcher's view differs from the store (-store +watcher): %s", diff)
				}
				for k, kv := range s.items {
					if kv.Lease != 0 && s.leases[kv.Lease] == nil {
						t.Fatalf("key %s still exists after its lease has ended", k)
					}
				}
			},
		})
	})
}

func TestWatchBehindCompactionIsReported(t *testing.T) {
	s := NewKeyValueStore()
	var watcher watcherView
	watcher.list(s)
	for range 3 * retainedEvents {
		s.Apply(protocol.Txn{Then: []protocol.Change{{Put: "a", Value: json.RawMessage("1")}}})
	}
	if watcher.follow(s) {
		t.Error("discarded changes were skipped without an error")
	}
	watcher.list(s)
	if !watcher.follow(s) {
		t.Error("a watcher that has just listed the store has to list it again")
	}
}

// After a restart the state is the same, and no revision or lease id is issued twice.
func TestStatePersistsAcrossRestart(t *testing.T) {
	dir := t.TempDir()
	open := func() *StateService {
		s, err := NewStateService(Default().State, dir)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	s := open()
	s.mutate(func() {
		id := s.kv.Grant(0, time.Minute)
		s.kv.Apply(protocol.Txn{Then: []protocol.Change{{Put: "a", Value: json.RawMessage("1")}, {Put: "b", Value: json.RawMessage("2"), Lease: id}}})
	})
	s.mutate(func() {
		s.kv.Apply(protocol.Txn{Then: []protocol.Change{{Delete: "a"}, {Put: "c", Value: json.RawMessage("3")}}})
	})
	s.mutate(func() { s.kv.Grant(0, time.Minute) })
	id := "req-1"
	s.file.saveJob(id, &protocol.Submission{ID: &id})
	s.file.saveMachineCount(7)
	items, revision, last := s.kv.items, s.kv.revision, s.kv.lastLeaseID
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = open()
	defer s.Close()
	if d := cmp.Diff(items, s.kv.items); d != "" {
		t.Error(d)
	}
	if s.kv.revision != revision || s.kv.lastLeaseID != last {
		t.Errorf("got revision %d and newest lease %d, want %d and %d", s.kv.revision, s.kv.lastLeaseID, revision, last)
	}
	if _, gone := s.kv.Changes("", revision-1); !gone {
		t.Error("changes from before the restart were skipped without an error")
	}
	// Without the stored submissions, accepted jobs would never run again after a restart;
	// without the machine count, names would be reused.
	if jobs, machines, err := s.file.load(); err != nil || machines != 7 || len(jobs) != 1 || *jobs[0].ID != id {
		t.Errorf("got %d machines and jobs %v, %v, want 7 and the stored job", machines, jobs, err)
	}
	if s.kv.leases[1] == nil || s.kv.leases[1].expiresAt < time.Minute {
		t.Error("lease was not extended by its full TTL after the restart")
	}
}
