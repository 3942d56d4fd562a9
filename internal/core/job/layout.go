package job

import (
	"cmp"
	"maps"
	"slices"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/mustjson"
)

// layout is how a job's tasks are divided over keys of the store.
type layout struct {
	// ChunkSize is the number of tasks stored under one key.
	ChunkSize int
	// sized is set if the head states ChunkSize.
	sized bool
	// formerSize is the chunk size from before the job was split, 0 if it never was. migrated
	// holds the chunks that are no longer read from keys of that size.
	formerSize int
	migrated   Set
	// storedKeys holds the keys that exist, dirty the chunks whose stored form is out of date.
	storedKeys map[ChunkKey]bool
	dirty      map[int]bool
	// specBytes is how long the stored description is, once it was asked for.
	specBytes int
}

func newLayout(chunkSize int) layout {
	return layout{ChunkSize: chunkSize, storedKeys: map[ChunkKey]bool{}, dirty: map[int]bool{}}
}

// SpecBytes is how long the stored description is.
func (j *Job) SpecBytes() int {
	if j.specBytes == 0 {
		j.specBytes = j.StoredBytes()
	}
	return j.specBytes
}

// key names chunk c as it is written now.
func (l *layout) key(c int) ChunkKey {
	if l.sized {
		return ChunkKey{Size: l.ChunkSize, Index: c}
	}
	return ChunkKey{Index: c}
}

// unstatedSize is the number of tasks under a key whose name does not state it.
func (l *layout) unstatedSize() int {
	if l.formerSize > 0 {
		return l.formerSize
	}
	return l.ChunkSize
}

// hasMigrated tells whether task i is no longer read from keys of the former size.
func (l *layout) hasMigrated(i int) bool { return l.formerSize > 0 && l.migrated.Has(i/l.ChunkSize) }

// splitSize is the largest chunk size up to most into which the present chunks divide.
func (j *Job) splitSize(most int) int {
	for size := min(most, j.ChunkSize); size > 1; size-- {
		if j.ChunkSize%size == 0 {
			return size
		}
	}
	return 1
}

// SplitChunks divides the job's chunks into smaller ones of at most size tasks, if what leaves
// the head by that fits into writes keys; it reports whether the chunks are that small.
// Chunks that have keys of their own already stay there until they change.
func (j *Job) SplitChunks(size, writes int) bool {
	if j.ChunkSize <= size {
		return true
	}
	if j.formerSize > 0 {
		return false // keys of two former sizes could not be distinguished
	}
	size = j.splitSize(size)
	parts := j.ChunkSize / size
	if j.keysWithin(size, parts) > writes {
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
	j.formerSize, j.ChunkSize, j.sized, j.dirty = j.ChunkSize, size, true, changed
	return true
}

// keysWithin counts the chunks of size that leave the head and need keys.
func (j *Job) keysWithin(size, parts int) (n int) {
	for part := 1; part < parts; part++ {
		if j.needsKey(part*size, min(j.Tasks, (part+1)*size)) {
			n++
		}
	}
	return n
}

// ChunkWrite is a write of one further chunk; a nil Value deletes it.
type ChunkWrite struct {
	Key   ChunkKey
	Value json.RawMessage
	// migrates is set where it is the first under its own key since the job was split.
	migrates bool
}

// TakeDirty returns the writes of at most limit changed chunks besides the head, and whether more
// are left.
func (j *Job) TakeDirty(limit int) (writes []ChunkWrite, more bool) {
	for _, c := range slices.Sorted(maps.Keys(j.dirty)) {
		write, needed := j.chunkWrite(c)
		if needed && len(writes) == limit {
			return writes, true
		}
		delete(j.dirty, c)
		if needed {
			writes = append(writes, write)
		}
		j.noteWrite(c, write)
	}
	for _, key := range j.supersededKeys() {
		if len(writes) == limit {
			j.dirty[0] = true
			return writes, true
		}
		delete(j.storedKeys, key)
		writes = append(writes, ChunkWrite{Key: key})
	}
	return writes, false
}

// chunkWrite is the write of a changed chunk, if it takes any besides the head.
func (j *Job) chunkWrite(c int) (write ChunkWrite, needed bool) {
	if c == 0 {
		return ChunkWrite{}, false
	}
	write = ChunkWrite{Key: j.key(c), migrates: j.formerSize > 0 && !j.migrated.Has(c)}
	if !j.needsKey(j.bounds(c)) {
		return write, j.storedKeys[write.Key] || !j.sized
	}
	write.Value = mustjson.Marshal(j.chunkRecord(c))
	return write, true
}

// noteWrite notes that a chunk is about to be stored under its own key, or in the head.
func (j *Job) noteWrite(c int, w ChunkWrite) {
	if j.formerSize > 0 {
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

// supersededKeys lists the keys of the former size of which nothing is read any more.
func (j *Job) supersededKeys() []ChunkKey {
	if j.formerSize == 0 {
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

// isSuperseded tells whether all chunks that a key of the former size holds have migrated or need
// no key.
func (j *Job) isSuperseded(key ChunkKey) bool {
	parts := j.formerSize / j.ChunkSize
	for c := key.Index * parts; c < min(j.chunks(), (key.Index+1)*parts); c++ {
		if !j.migrated.Has(c) && j.needsKey(j.bounds(c)) {
			return false
		}
	}
	return true
}

// RevertWrites marks chunks as changed again after a write that did not happen.
func (j *Job) RevertWrites(writes []ChunkWrite) {
	j.dirty[0] = true
	for _, w := range writes {
		if w.Value == nil {
			j.storedKeys[w.Key] = true // perhaps: it was not deleted
		}
		if w.Key.Size == 0 && j.sized {
			continue // of the former size; supersededKeys lists it again
		}
		j.dirty[w.Key.Index] = true
		if w.migrates {
			j.migrated.Remove(w.Key.Index)
		}
	}
}

// NoteStoredKey notes that a chunk has a key of its own in the store.
func (j *Job) NoteStoredKey(k ChunkKey) { j.storedKeys[k] = true }

// Dirty tells whether something waits to be stored.
func (j *Job) Dirty() bool { return len(j.dirty) > 0 }

// DirtyChunks counts the keys that wait to be stored.
func (j *Job) DirtyChunks() int { return len(j.dirty) }

// TaskDirty tells whether task i waits to be stored.
func (j *Job) TaskDirty(i int) bool { return j.dirty[i/j.ChunkSize] }

// MarkDirty marks task i as changed.
func (j *Job) MarkDirty(i int) { j.dirty[i/j.ChunkSize] = true }
