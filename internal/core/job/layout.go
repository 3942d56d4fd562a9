package job

import (
	"cmp"
	"maps"
	"slices"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/mustjson"
)

// chunkLayout describes how the state of a job's tasks is divided into chunks and which store keys
// hold them. Chunk 0 is part of the job's head. Every other chunk that has to be stored has its own
// key.
type chunkLayout struct {
	// ChunkSize is the number of tasks per chunk.
	ChunkSize int
	// hasExplicitSize is set if the head and the chunk keys contain ChunkSize.
	hasExplicitSize bool
	// previousSize is the chunk size before the chunks were split, 0 if they never were.
	// migrated holds the chunks of the present size that are no longer read from keys of the
	// previous size.
	previousSize int
	migrated     Set
	// storedKeys holds the chunk keys that exist in the store, and dirty the chunks that have
	// changed since they were stored.
	storedKeys map[ChunkKey]bool
	dirty      map[int]bool
	// specBytes caches the result of Job.SpecBytes, 0 before the first call.
	specBytes int
}

func newChunkLayout(chunkSize int) chunkLayout {
	return chunkLayout{ChunkSize: chunkSize, storedKeys: map[ChunkKey]bool{}, dirty: map[int]bool{}}
}

// SpecBytes returns the size of the stored spec in bytes.
func (j *Job) SpecBytes() int {
	if j.specBytes == 0 {
		j.specBytes = j.StoredBytes()
	}
	return j.specBytes
}

// chunkKey returns the key under which chunk c is written.
func (l *chunkLayout) chunkKey(c int) ChunkKey {
	if l.hasExplicitSize {
		return ChunkKey{Size: l.ChunkSize, Index: c}
	}
	return ChunkKey{Index: c}
}

// implicitSize returns the chunk size for keys that do not contain one.
func (l *chunkLayout) implicitSize() int {
	if l.previousSize > 0 {
		return l.previousSize
	}
	return l.ChunkSize
}

// hasMigrated reports whether task i is no longer read from keys of the previous chunk size.
func (l *chunkLayout) hasMigrated(i int) bool {
	return l.previousSize > 0 && l.migrated.Has(i/l.ChunkSize)
}

// splitSize returns the largest chunk size up to limit that divides the present one evenly.
func (j *Job) splitSize(limit int) int {
	for size := min(limit, j.ChunkSize); size > 1; size-- {
		if j.ChunkSize%size == 0 {
			return size
		}
	}
	return 1
}

// SplitChunks divides the job's chunks into smaller ones of at most size tasks and reports whether
// the chunks are that small afterwards. The part of chunk 0 that leaves the head has to be stored
// together with the smaller head, so nothing is split if that takes more than maxKeys new keys.
// Chunks that are already stored under their own keys stay there until they change.
func (j *Job) SplitChunks(size, maxKeys int) bool {
	if j.ChunkSize <= size {
		return true
	}
	if j.previousSize > 0 {
		return false // the layout can describe only one previous size
	}
	size = j.splitSize(size)
	parts := j.ChunkSize / size
	if j.countNewKeys(size, parts) > maxKeys {
		return false
	}
	changed := map[int]bool{}
	for c := range j.dirty {
		for part := c * parts; part < (c+1)*parts; part++ {
			changed[part] = true
		}
	}
	for part := range parts {
		changed[part] = true
	}
	j.previousSize, j.ChunkSize, j.hasExplicitSize, j.dirty = j.ChunkSize, size, true, changed
	return true
}

// countNewKeys returns how many keys are needed when chunk 0 is divided into parts of size tasks,
// of which only the first stays in the head.
func (j *Job) countNewKeys(size, parts int) (n int) {
	for part := 1; part < parts; part++ {
		if j.needsKey(part*size, min(j.Tasks, (part+1)*size)) {
			n++
		}
	}
	return n
}

// ChunkWrite is a write of one chunk key. A nil Value deletes the key.
type ChunkWrite struct {
	Key   ChunkKey
	Value json.RawMessage
	// firstSinceSplit is set for the first write of the chunk since the job's chunks were
	// split.
	firstSinceSplit bool
}

// TakeChunkWrites returns at most maxWrites chunk writes that are due besides the head, and whether
// more are left. The chunks that are written no longer count as changed, unless RevertWrites is
// called because the transaction has failed.
func (j *Job) TakeChunkWrites(maxWrites int) (writes []ChunkWrite, more bool) {
	for _, c := range slices.Sorted(maps.Keys(j.dirty)) {
		write, needed := j.chunkWrite(c)
		if needed && len(writes) == maxWrites {
			return writes, true
		}
		delete(j.dirty, c)
		if needed {
			writes = append(writes, write)
		}
		j.recordWrite(c, write)
	}
	for _, key := range j.supersededKeys() {
		if len(writes) == maxWrites {
			j.dirty[0] = true
			return writes, true
		}
		delete(j.storedKeys, key)
		writes = append(writes, ChunkWrite{Key: key})
	}
	return writes, false
}

// chunkWrite returns the write of a changed chunk, and whether one is needed besides the head.
func (j *Job) chunkWrite(c int) (write ChunkWrite, needed bool) {
	if c == 0 {
		return ChunkWrite{}, false
	}
	write = ChunkWrite{Key: j.chunkKey(c), firstSinceSplit: j.previousSize > 0 && !j.migrated.Has(c)}
	if !j.needsKey(j.chunkBounds(c)) {
		return write, j.storedKeys[write.Key] || !j.hasExplicitSize
	}
	write.Value = mustjson.Marshal(j.chunkRecord(c))
	return write, true
}

// recordWrite updates the layout for a chunk that is about to be stored in the head or under its own
// key, or whose key is about to be deleted.
func (j *Job) recordWrite(c int, w ChunkWrite) {
	if j.previousSize > 0 {
		j.migrated.Add(c)
	}
	switch {
	case c == 0:
	case w.Value == nil:
		delete(j.storedKeys, w.Key)
	default:
		j.storedKeys[w.Key] = true
	}
}

// supersededKeys returns the keys of the previous chunk size that are no longer read at all.
func (j *Job) supersededKeys() []ChunkKey {
	if j.previousSize == 0 {
		return nil
	}
	var keys []ChunkKey
	for key := range j.storedKeys {
		if key.Size == 0 && j.isSuperseded(key) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b ChunkKey) int { return cmp.Compare(a.Index, b.Index) })
	return keys
}

// isSuperseded reports whether every chunk covered by a key of the previous size has been migrated
// or needs no key.
func (j *Job) isSuperseded(key ChunkKey) bool {
	parts := j.previousSize / j.ChunkSize
	for c := key.Index * parts; c < min(j.chunkCount(), (key.Index+1)*parts); c++ {
		if !j.migrated.Has(c) && j.needsKey(j.chunkBounds(c)) {
			return false
		}
	}
	return true
}

// RevertWrites undoes TakeChunkWrites after a failed transaction: its chunks count as changed again.
func (j *Job) RevertWrites(writes []ChunkWrite) {
	j.dirty[0] = true
	for _, w := range writes {
		if w.Value == nil {
			j.storedKeys[w.Key] = true // it may still exist, so it is deleted again
		}
		if w.Key.Size == 0 && j.hasExplicitSize {
			continue // a key of the previous size: supersededKeys returns it again
		}
		j.dirty[w.Key.Index] = true
		if w.firstSinceSplit {
			j.migrated.Remove(w.Key.Index)
		}
	}
}

// recordStoredKey records that a chunk key exists in the store.
func (j *Job) recordStoredKey(k ChunkKey) { j.storedKeys[k] = true }

// Dirty reports whether the job has changes that are not stored.
func (j *Job) Dirty() bool { return len(j.dirty) > 0 }

// DirtyChunks returns the number of chunks with changes that are not stored.
func (j *Job) DirtyChunks() int { return len(j.dirty) }

// TaskDirty reports whether the chunk of task i has changes that are not stored.
func (j *Job) TaskDirty(i int) bool { return j.dirty[i/j.ChunkSize] }

// MarkDirty marks the chunk of task i as changed.
func (j *Job) MarkDirty(i int) { j.dirty[i/j.ChunkSize] = true }
