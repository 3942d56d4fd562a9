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

// TestMain fixes the seed of the property tests; -rapid.seed and -rapid.checks search further.
func TestMain(m *testing.M) { os.Exit(testseed.Run(m, nil)) }

// replay is what a watcher knows that began with a list and followed the changes.
type replay struct {
	items map[string]protocol.KeyValue
	at    uint64
}

func (r *replay) list(s *KeyValueStore) {
	*r = replay{items: map[string]protocol.KeyValue{}}
	for after := ""; ; {
		page := s.List("", after, 3)
		r.at = page.Revision
		for _, kv := range page.Items {
			r.items[kv.Key] = kv
			after = kv.Key
		}
		if !page.More {
			return
		}
	}
}

func (r *replay) follow(s *KeyValueStore) bool {
	ch, gone := s.Changes("", r.at)
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
	r.at = ch.Revision
	return true
}

// A random life of the store: what a watcher gathers is what is stored, a
// transaction is applied whole or not at all, and a key goes with its lease.
func TestStoreKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewKeyValueStore()
		var leases []uint64
		now := time.Duration(0)
		var w replay
		w.list(s)
		key := rapid.SampledFrom([]string{"a", "b/1", "b/2", "c"})
		t.Repeat(map[string]func(*rapid.T){
			"txn": func(t *rapid.T) {
				var txn protocol.Txn
				hold := true
				for range rapid.IntRange(0, 2).Draw(t, "conditions") {
					k := key.Draw(t, "key")
					v := s.items[k].Version
					if rapid.IntRange(0, 3).Draw(t, "wrong") == 0 {
						v++
						hold = false
					}
					txn.If = append(txn.If, protocol.Condition{Key: k, Version: v})
				}
				ended := false
				for i := range rapid.IntRange(0, 3).Draw(t, "changes") {
					ch := protocol.Change{Put: key.Draw(t, "key"), Value: json.RawMessage(fmt.Sprint(i))}
					if rapid.Bool().Draw(t, "delete") {
						ch = protocol.Change{Delete: ch.Put}
					} else if len(leases) > 0 && rapid.Bool().Draw(t, "leased") {
						ch.Lease = rapid.SampledFrom(leases).Draw(t, "lease")
						ended = ended || s.leases[ch.Lease] == nil
					}
					txn.Then = append(txn.Then, ch)
				}
				before := s.revision
				_, ok, noLease := s.Apply(txn)
				if noLease != ended {
					t.Fatalf("refused for its lease %v, lease has ended %v", noLease, ended)
				}
				if !noLease && ok != hold {
					t.Fatalf("applied %v, conditions hold %v", ok, hold)
				}
				if !ok && s.revision != before {
					t.Fatalf("a failed transaction changed something")
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
					if lives := s.leases[id] != nil; s.Renew(now, id) != lives {
						t.Fatalf("renewal of lease %d does not tell whether it lives", id)
					}
				}
			},
			"": func(t *rapid.T) {
				if !w.follow(s) {
					t.Fatalf("changes are forgotten")
				}
				if d := cmp.Diff(s.items, w.items); d != "" {
					t.Fatalf("a watcher knows something else: %s", d)
				}
				for k, kv := range s.items {
					if kv.Lease != 0 && s.leases[kv.Lease] == nil {
						t.Fatalf("%s outlives its lease", k)
					}
				}
			},
		})
	})
}

func TestWatcherThatIsTooFarBehindIsTold(t *testing.T) {
	s := NewKeyValueStore()
	var w replay
	w.list(s)
	for range 3 * retainedEvents {
		s.Apply(protocol.Txn{Then: []protocol.Change{{Put: "a", Value: json.RawMessage("1")}}})
	}
	if w.follow(s) {
		t.Error("changes that are forgotten are passed over")
	}
	w.list(s)
	if !w.follow(s) {
		t.Error("a watcher that has just read is told to read again")
	}
}

// The file holds what memory held, and no revision or lease is given twice.
func TestStateOutlivesTheStandIn(t *testing.T) {
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
	items, revision, last := s.kv.items, s.kv.revision, s.kv.lastLease
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	s = open()
	defer s.Close()
	if d := cmp.Diff(items, s.kv.items); d != "" {
		t.Error(d)
	}
	if s.kv.revision != revision || s.kv.lastLease != last {
		t.Errorf("revision %d, newest lease %d; were %d, %d", s.kv.revision, s.kv.lastLease, revision, last)
	}
	if _, gone := s.kv.Changes("", revision-1); !gone {
		t.Error("changes from before are passed over")
	}
	// Machines' names and jobs' descriptions were once lost, and accepted jobs
	// never ran again.
	if jobs, machines, err := s.file.load(); err != nil || machines != 7 || len(jobs) != 1 || *jobs[0].ID != id {
		t.Errorf("kept %d machines and jobs %v, %v", machines, jobs, err)
	}
	if s.kv.leases[1] == nil || s.kv.leases[1].ends < time.Minute {
		t.Error("a lease does not have its full time again")
	}
}
