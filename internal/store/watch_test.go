package store

import (
	"maps"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/segmentio/encoding/json"

	"pepperlever/internal/core"
	"pepperlever/internal/emulator"
	"pepperlever/internal/progress"
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// pagedServer serves lists and changes of a key-value store in pages of two keys. It calls afterPage
// with the number of each page, from 1, once the page has been read.
func pagedServer(t *testing.T, kv *emulator.KeyValueStore, afterPage func(page int)) *Store {
	t.Helper()
	const keysPerPage = 2
	pages := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query := r.URL.Query()
		prefix, after := query.Get(protocol.ArgPrefix), query.Get(protocol.ArgAfter)
		var body any
		if r.URL.Path == protocol.PathWatch {
			since, err := strconv.ParseUint(after, 10, 64)
			if err != nil {
				t.Error(err)
			}
			body, _ = kv.Changes(prefix, since)
		} else {
			body = kv.List(prefix, after, keysPerPage)
			pages++
			afterPage(pages)
		}
		if err := json.NewEncoder(w).Encode(body); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(s.Close)
	cfg := &settings.Settings{}
	cfg.Services.State = s.Listener.Addr().String()
	cfg.Params.Workers.ReportS, cfg.Params.Workers.LeaseS = 3, 30
	cfg.Params.State.RPS, cfg.Params.State.WriteRPS = 1000, 1000
	return New(cfg, "j/", &progress.Counter{}, func(core.Command) {})
}

// apply applies changes to the key-value store in one transaction.
func apply(t *testing.T, kv *emulator.KeyValueStore, changes ...protocol.Change) {
	t.Helper()
	if _, ok, _ := kv.Apply(protocol.Txn{Then: changes}); !ok {
		t.Fatal("transaction was not applied")
	}
}

func put(key string) protocol.Change {
	return protocol.Change{Put: key, Value: json.RawMessage(`{}`)}
}

func remove(key string) protocol.Change { return protocol.Change{Delete: key} }

// Guards against a snapshot that joins pages of different revisions: a job that was cancelled and
// ended between two pages was loaded without its cancellation, and then called done.
func TestSnapshotShowsOneRevision(t *testing.T) {
	for name, between := range map[string]func(page int) []protocol.Change{
		"keys on a read and on an unread page are deleted": func(page int) []protocol.Change {
			if page != 1 {
				return nil
			}
			return []protocol.Change{remove("j/a/1"), remove("j/c/1"), put("u/1")}
		},
		"a key on a read page changes after each page": func(page int) []protocol.Change {
			return []protocol.Change{put("j/a/1"), put("j/n/" + strconv.Itoa(page))}
		},
		"keys are added on a read and on an unread page": func(page int) []protocol.Change {
			if page != 2 {
				return nil
			}
			return []protocol.Change{put("j/a/0"), put("j/x/1")}
		},
		"only keys outside the listed ones change": func(int) []protocol.Change {
			return []protocol.Change{put("u/2")}
		},
	} {
		t.Run(name, func(t *testing.T) {
			kv := emulator.NewKeyValueStore()
			for _, key := range []string{"j/a/1", "j/a/2", "j/b/1", "j/c/1", "j/f", "j/t"} {
				apply(t, kv, put(key))
			}
			s := pagedServer(t, kv, func(page int) {
				if changes := between(page); page <= 3 && len(changes) > 0 {
					apply(t, kv, changes...)
				}
			})
			var loaded core.SnapshotLoaded
			s.emit = func(command core.Command) { loaded = command.(core.SnapshotLoaded) }
			revision, err := s.loadSnapshot()
			if err != nil {
				t.Fatal(err)
			}
			got := map[string]uint64{}
			for _, item := range loaded.Items {
				got[item.Key] = item.Version
			}
			if want := replay(kv, revision); !maps.Equal(got, want) || loaded.Revision != revision {
				t.Errorf("versions at revision %d differ (-want +got):\n%s", revision, cmp.Diff(want, got))
			}
		})
	}
}

// replay returns the versions of the listed keys as of a revision.
func replay(kv *emulator.KeyValueStore, revision uint64) map[string]uint64 {
	versions := map[string]uint64{}
	changes, _ := kv.Changes("j/", 0)
	for _, event := range changes.Events {
		switch {
		case event.Version > revision:
		case event.Delete != "":
			delete(versions, event.Delete)
		default:
			versions[event.Put] = event.Version
		}
	}
	return versions
}
