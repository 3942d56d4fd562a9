package job

import (
	"fmt"
	"maps"
	"slices"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/mustjson"
)

// headRecord is the stored form of a job's head: the value of its main key.
type headRecord struct {
	Spec    *Spec  `json:"s"`
	Nonce   string `json:"w,omitempty"`
	Attempt uint64 `json:"n"`
	// DoneChunks holds the chunks, other than chunk 0, whose tasks are all done. They have no
	// key.
	DoneChunks string `json:"f,omitempty"`
	Suspected  bool   `json:"x,omitempty"`
	// ChunkSize is omitted if the size is derived from the settings, and PreviousSize and
	// Migrated if the job's chunks were never split.
	ChunkSize    int          `json:"z,omitempty"`
	PreviousSize int          `json:"y,omitempty"`
	Migrated     string       `json:"v,omitempty"`
	FirstChunk   *chunkRecord `json:"c"`
}

// chunkRecord is the stored form of a chunk. Bindings refer to Machines by index, to store each
// machine name once.
type chunkRecord struct {
	Done     string          `json:"d,omitempty"`
	Machines []string        `json:"m,omitempty"`
	Bindings []bindingRecord `json:"b,omitempty"`
}

// bindingRecord is the stored form of a binding: an array of the fields below.
type bindingRecord [5]uint64

// Indexes of the fields in a bindingRecord.
const (
	bindingTask    = iota // relative to the chunk's first task
	bindingMachine        // index in the chunk's list of machines
	bindingAttempt
	bindingToken
	bindingEpoch
)

// RecordError reports a stored job record that is invalid.
type RecordError struct {
	Job     string
	Problem string
}

// Error returns the job ID and the problem.
func (e *RecordError) Error() string { return fmt.Sprintf("job %s: %s", e.Job, e.Problem) }

// chunkCount returns the number of chunks, including chunk 0.
func (j *Job) chunkCount() int { return (j.Tasks + j.ChunkSize - 1) / j.ChunkSize }

// chunkBounds returns the range [lo, hi) of the tasks in chunk c.
func (j *Job) chunkBounds(c int) (lo, hi int) {
	return c * j.ChunkSize, min(j.Tasks, (c+1)*j.ChunkSize)
}

// allDone reports whether every task in [lo, hi) is done.
func (j *Job) allDone(lo, hi int) bool {
	for i := lo; i < hi; i++ {
		if !j.Done.Has(i) {
			return false
		}
	}
	return true
}

// Head returns the stored form of the job's head.
func (j *Job) Head() json.RawMessage {
	spec := j.Spec
	if j.Attempt > 0 {
		spec.Dependencies = nil // all are done, since a task has been bound
	}
	head := headRecord{
		Spec:       &spec,
		Nonce:      j.Nonce,
		Attempt:    j.Attempt,
		DoneChunks: j.doneChunks(),
		Suspected:  j.Suspected,
		FirstChunk: j.chunkRecord(0),
	}
	if j.hasExplicitSize {
		head.ChunkSize = j.ChunkSize
		head.PreviousSize = j.previousSize
		head.Migrated = j.migrated.Format(0, j.chunkCount())
	}
	return mustjson.Marshal(head)
}

// doneChunks returns, as ranges, the chunks other than chunk 0 whose tasks are all done.
func (j *Job) doneChunks() string {
	var done Set
	for c := 1; c < j.chunkCount(); c++ {
		if j.allDone(j.chunkBounds(c)) {
			done.Add(c)
		}
	}
	return done.Format(0, j.chunkCount())
}

// chunkRecord returns the stored form of chunk c.
func (j *Job) chunkRecord(c int) *chunkRecord {
	lo, hi := j.chunkBounds(c)
	record := &chunkRecord{Done: j.Done.Format(lo, hi)}
	indexes := map[string]int{}
	for _, i := range slices.Sorted(maps.Keys(j.Bound)) {
		if i < lo || i >= hi {
			continue
		}
		b := j.Bound[i]
		index, listed := indexes[b.Machine]
		if !listed {
			index = len(record.Machines)
			indexes[b.Machine] = index
			record.Machines = append(record.Machines, b.Machine)
		}
		record.Bindings = append(record.Bindings, bindingRecord{
			bindingTask:    uint64(i - lo),
			bindingMachine: uint64(index),
			bindingAttempt: b.Attempt,
			bindingToken:   b.Token,
			bindingEpoch:   b.Epoch,
		})
	}
	return record
}

// HeadNonce returns the nonce of the update that wrote a stored head.
func HeadNonce(raw json.RawMessage) (string, error) {
	var head struct {
		Nonce string `json:"w"`
	}
	err := json.Unmarshal(raw, &head)
	return head.Nonce, err
}

// HeadSpec returns the spec in a stored head of a job. It does not depend on how the job's tasks are divided
// into chunks.
func HeadSpec(id string, raw json.RawMessage) (*Spec, error) {
	var head headRecord
	if err := json.Unmarshal(raw, &head); err != nil {
		return nil, err
	}
	if !head.hasRequiredFields() {
		return nil, &RecordError{Job: id, Problem: "stored head is incomplete"}
	}
	head.Spec.ID = id
	return head.Spec, nil
}

// LoadHead loads a stored head, which includes chunk 0 and the list of chunks whose tasks are all
// done.
func (j *Job) LoadHead(raw json.RawMessage) error {
	var head headRecord
	if err := json.Unmarshal(raw, &head); err != nil {
		return err
	}
	if !head.hasRequiredFields() {
		return &RecordError{Job: j.ID, Problem: "stored head is incomplete"}
	}
	id := j.ID
	j.Spec = *head.Spec
	j.ID = id
	j.Nonce, j.Attempt, j.Suspected = head.Nonce, head.Attempt, head.Suspected
	j.StoredAttempt = head.Attempt
	if err := j.loadLayout(&head); err != nil {
		return err
	}
	if err := j.loadDoneChunks(head.DoneChunks); err != nil {
		return err
	}
	return j.loadChunkRecord(0, j.ChunkSize, head.FirstChunk)
}

// hasRequiredFields reports whether a head has the fields that every head has, with valid sizes.
func (h *headRecord) hasRequiredFields() bool {
	if h.Spec == nil || h.FirstChunk == nil || h.ChunkSize < 0 || h.PreviousSize < 0 {
		return false
	}
	return h.Spec.Tasks >= 1 && h.Spec.Tasks <= MaxTasks
}

// loadLayout sets the chunk layout from a head that contains the chunk size.
func (j *Job) loadLayout(head *headRecord) error {
	if head.ChunkSize == 0 {
		return nil
	}
	j.ChunkSize, j.hasExplicitSize, j.previousSize = head.ChunkSize, true, head.PreviousSize
	j.migrated = Set{}
	return j.migrated.Parse(head.Migrated, 0, j.chunkCount())
}

// loadDoneChunks marks all tasks of the given chunks as done.
func (j *Job) loadDoneChunks(ranges string) error {
	var done Set
	if err := done.Parse(ranges, 0, j.chunkCount()); err != nil {
		return err
	}
	for c := 1; c < j.chunkCount(); c++ {
		if !done.Has(c) {
			continue
		}
		lo, hi := j.chunkBounds(c)
		for i := lo; i < hi; i++ {
			j.markDone(i)
		}
	}
	return nil
}

// LoadChunk loads a chunk that is stored under its own key.
func (j *Job) LoadChunk(k ChunkKey, raw json.RawMessage) error {
	size := k.Size
	if size == 0 {
		size = j.implicitSize()
	}
	if k.Index < 1 || k.Index*size >= j.Tasks {
		return &RecordError{Job: j.ID, Problem: "chunk key is out of bounds: " + k.String()}
	}
	j.recordStoredKey(k)
	var record chunkRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return err
	}
	return j.loadChunkRecord(k.Index*size, size, &record)
}

// loadChunkRecord loads a stored chunk of size tasks that begins at task lo, and removes the known
// bindings of these tasks that the chunk does not list. A chunk of the previous size has no effect on the
// bindings of tasks that have migrated to a chunk of the present size.
func (j *Job) loadChunkRecord(lo, size int, record *chunkRecord) error {
	hi := min(j.Tasks, lo+size)
	superseded := func(i int) bool { return size == j.previousSize && j.hasMigrated(i) }
	if err := j.Done.Parse(record.Done, lo, hi); err != nil {
		return err
	}
	bound := map[int]bool{}
	for _, stored := range record.Bindings {
		i := lo + int(stored[bindingTask])
		if i >= hi || int(stored[bindingMachine]) >= len(record.Machines) {
			return &RecordError{Job: j.ID, Problem: "stored binding is out of bounds"}
		}
		if superseded(i) {
			continue
		}
		bound[i] = true
		j.loadBinding(i, record.Machines[stored[bindingMachine]], stored)
	}
	for i := range j.Bound {
		if i >= lo && i < hi && !bound[i] && !superseded(i) {
			j.clearBinding(i)
		}
	}
	return nil
}

// loadBinding sets a stored binding of task i. If the binding is known already, its unstored fields
// are kept.
func (j *Job) loadBinding(i int, machine string, stored bindingRecord) {
	attempt, token, epoch := stored[bindingAttempt], stored[bindingToken], stored[bindingEpoch]
	if current := j.Bound[i]; current != nil && current.Attempt == attempt && current.Machine == machine {
		current.Stored, current.Token, current.Epoch = true, token, epoch
		return
	}
	j.setBinding(i, &Binding{Machine: machine, Attempt: attempt, Token: token, Epoch: epoch, Stored: true})
}

// Cancel marks the job as cancelled. It also marks the head as changed, and the chunks under keys of
// the present size, so that each of these keys is deleted once none of its tasks is bound.
func (j *Job) Cancel() {
	j.Cancelled = true
	j.dirty[0] = true
	for k := range j.storedKeys {
		if k == j.chunkKey(k.Index) {
			j.dirty[k.Index] = true
		}
	}
}

// needsKey reports whether the tasks in [lo, hi) have to be stored under a chunk key. No key is
// needed if all of them are done, or if the job is cancelled and none of them is bound.
func (j *Job) needsKey(lo, hi int) bool {
	if !j.Cancelled {
		return !j.allDone(lo, hi)
	}
	for i := lo; i < hi; i++ {
		if j.Bound[i] != nil {
			return true
		}
	}
	return false
}
