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

// stateFile persists the emulated state across restarts. Writes are not synced: a crash of the
// process loses nothing, but a crash of the machine may lose the latest writes, which is
// acceptable for an emulator. A nil stateFile keeps nothing.
type stateFile struct{ db *bbolt.DB }

// Names of the buckets in the state file and of the keys in the meta bucket.
var (
	bucketKeys  = []byte("keys")
	bucketMeta  = []byte("meta")
	keyCounters = []byte("counters")
	keyLeases   = []byte("leases")
	keyMachines = []byte("machines")
	// bucketJobs holds the submissions that the frontend has recorded for the workers.
	bucketJobs = []byte("jobs")
)

// counters holds the numbers that must never decrease.
type counters struct {
	Revision uint64 `json:"revision"`
	LastID   uint64 `json:"last_id"`
}

// openStateFile opens the state file in dir, creating it if needed, and reads it into kv.
func openStateFile(dir string, kv *KeyValueStore) (*stateFile, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	db, err := bbolt.Open(filepath.Join(dir, "state.db"), 0o600, &bbolt.Options{Timeout: time.Second, NoSync: true})
	if err != nil {
		return nil, fmt.Errorf("open state file in %s, perhaps in use by another process: %w", dir, err)
	}
	if err := db.Update(func(tx *bbolt.Tx) error { return readStateFile(tx, kv) }); err != nil {
		db.Close()
		return nil, err
	}
	return &stateFile{db}, nil
}

// readStateFile creates the buckets that are missing and reads the keys, counters and leases
// into kv.
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
	var saved counters
	ttls := map[uint64]time.Duration{}
	for key, target := range map[string]any{string(keyCounters): &saved, string(keyLeases): &ttls} {
		if raw := meta.Get([]byte(key)); raw != nil {
			if err := json.Unmarshal(raw, target); err != nil {
				return err
			}
		}
	}
	kv.revision, kv.compactedRevision, kv.lastLeaseID = saved.Revision, saved.Revision, saved.LastID
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

// save writes the changed keys, the counters and the leases in one transaction.
func (d *stateFile) save(kv *KeyValueStore) {
	err := d.db.Update(func(tx *bbolt.Tx) error {
		keys, meta := tx.Bucket(bucketKeys), tx.Bucket(bucketMeta)
		for key := range kv.unsavedKeys {
			item, exists := kv.items[key]
			if !exists {
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
		for id, lease := range kv.leases {
			ttls[id] = lease.ttl
		}
		if err := putJSON(meta, keyLeases, ttls); err != nil {
			return err
		}
		return putJSON(meta, keyCounters, counters{kv.revision, kv.lastLeaseID})
	})
	if err != nil {
		slog.Error("emulated state cannot be saved", "error", err)
	}
}

// saveJob stores a job's submission.
func (d *stateFile) saveJob(id string, j *protocol.Submission) { d.put(bucketJobs, []byte(id), j) }

// saveMachineCount stores how many machine names have been issued, because a name must never
// be reused.
func (d *stateFile) saveMachineCount(n int) { d.put(bucketMeta, keyMachines, n) }

// put stores a value as JSON. It logs errors instead of returning them.
func (d *stateFile) put(bucket, key []byte, v any) {
	if d == nil {
		return
	}
	if err := d.db.Update(func(tx *bbolt.Tx) error { return putJSON(tx.Bucket(bucket), key, v) }); err != nil {
		slog.Error("emulated record cannot be saved", "key", string(key), "error", err)
	}
}

// load returns the submissions stored by saveJob and the count stored by saveMachineCount.
func (d *stateFile) load() (jobs []*protocol.Submission, machineCount int, err error) {
	if d == nil {
		return nil, 0, nil
	}
	err = d.db.View(func(tx *bbolt.Tx) error {
		if raw := tx.Bucket(bucketMeta).Get(keyMachines); raw != nil {
			if err := json.Unmarshal(raw, &machineCount); err != nil {
				return err
			}
		}
		return tx.Bucket(bucketJobs).ForEach(func(_, raw []byte) error {
			var j protocol.Submission
			jobs = append(jobs, &j)
			return json.Unmarshal(raw, &j)
		})
	})
	return jobs, machineCount, err
}

func putJSON(b *bbolt.Bucket, key []byte, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return b.Put(key, raw)
}
