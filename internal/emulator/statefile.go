package emulator

import (
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"time"

	"github.com/segmentio/encoding/json"
	"go.etcd.io/bbolt"

	"pepperlever/internal/protocol"
)

// stateFile keeps the state in a file, so that it outlives the stand-in. A save may be
// lost when the machine fails, not when the process does: it is a stand-in.
type stateFile struct{ db *bbolt.DB }

var (
	bucketKeys  = []byte("keys")
	bucketMeta  = []byte("meta")
	keyCounters = []byte("counters")
	keyLeases   = []byte("leases")
	keyMachines = []byte("machines")
	// bucketJobs holds the descriptions that users have handed to the workers.
	bucketJobs = []byte("jobs")
)

// counters are the figures that must never go back.
type counters struct {
	Revision uint64 `json:"revision"`
	LastID   uint64 `json:"last_id"`
}

// openStateFile opens the file in dir and reads it into kv.
func openStateFile(dir string, kv *KeyValueStore) (*stateFile, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	db, err := bbolt.Open(filepath.Join(dir, "state.db"), 0o600, &bbolt.Options{Timeout: time.Second, NoSync: true})
	if err != nil {
		return nil, fmt.Errorf("state file in %s, perhaps in use: %w", dir, err)
	}
	if err := db.Update(func(tx *bbolt.Tx) error { return readStateFile(tx, kv) }); err != nil {
		db.Close()
		return nil, err
	}
	return &stateFile{db}, nil
}

func readStateFile(tx *bbolt.Tx, kv *KeyValueStore) error {
	keys, err := tx.CreateBucketIfNotExists(bucketKeys)
	if err != nil {
		return err
	}
	meta, err := tx.CreateBucketIfNotExists(bucketMeta)
	if err != nil {
		return err
	}
	if _, err := tx.CreateBucketIfNotExists(bucketJobs); err != nil {
		return err
	}
	var n counters
	ttls := map[uint64]time.Duration{}
	for key, into := range map[string]any{string(keyCounters): &n, string(keyLeases): &ttls} {
		if raw := meta.Get([]byte(key)); raw != nil {
			if err := json.Unmarshal(raw, into); err != nil {
				return err
			}
		}
	}
	kv.revision, kv.compactedRevision, kv.lastLease = n.Revision, n.Revision, n.LastID
	for id, ttl := range ttls {
		kv.leases[id] = &lease{ttl: ttl}
	}
	return keys.ForEach(func(key, raw []byte) error {
		var item protocol.KeyValue
		err := json.Unmarshal(raw, &item)
		kv.items[string(key)] = item
		return err
	})
}

// save writes the touched keys, the counters and the leases.
func (d *stateFile) save(kv *KeyValueStore) {
	err := d.db.Update(func(tx *bbolt.Tx) error {
		keys, meta := tx.Bucket(bucketKeys), tx.Bucket(bucketMeta)
		for key := range kv.unsavedKeys {
			item, there := kv.items[key]
			if !there {
				if err := keys.Delete([]byte(key)); err != nil {
					return err
				}
				continue
			}
			if err := putJSON(keys, []byte(key), item); err != nil {
				return err
			}
		}
		ttls := map[uint64]time.Duration{}
		for id, l := range kv.leases {
			ttls[id] = l.ttl
		}
		if err := putJSON(meta, keyLeases, ttls); err != nil {
			return err
		}
		return putJSON(meta, keyCounters, counters{kv.revision, kv.lastLease})
	})
	if err != nil {
		slog.Error("emulated state cannot be saved", "error", err)
	}
}

// saveJob keeps a job's description, saveMachineCount how many machines were ever
// rented: a name must never be used again.
func (d *stateFile) saveJob(id string, j *protocol.Submission) { d.put(bucketJobs, []byte(id), j) }
func (d *stateFile) saveMachineCount(n int)                    { d.put(bucketMeta, keyMachines, n) }

func (d *stateFile) put(bucket, key []byte, v any) {
	if d == nil {
		return
	}
	if err := d.db.Update(func(tx *bbolt.Tx) error { return putJSON(tx.Bucket(bucket), key, v) }); err != nil {
		slog.Error("emulated record cannot be saved", "key", string(key), "error", err)
	}
}

// load reads what saveJob and saveMachineCount have kept.
func (d *stateFile) load() (jobs []*protocol.Submission, machines int, err error) {
	if d == nil {
		return nil, 0, nil
	}
	err = d.db.View(func(tx *bbolt.Tx) error {
		if raw := tx.Bucket(bucketMeta).Get(keyMachines); raw != nil {
			if err := json.Unmarshal(raw, &machines); err != nil {
				return err
			}
		}
		return tx.Bucket(bucketJobs).ForEach(func(_, raw []byte) error {
			var j protocol.Submission
			jobs = append(jobs, &j)
			return json.Unmarshal(raw, &j)
		})
	})
	return jobs, machines, err
}

func putJSON(b *bbolt.Bucket, key []byte, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return b.Put(key, raw)
}
