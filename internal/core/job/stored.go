package job

import (
	"fmt"
	"maps"
	"slices"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/mustjson"
)

// headRecord is the stored form of the head.
type headRecord struct {
	Spec    *Spec  `json:"s"`
	Nonce   string `json:"w,omitempty"`
	Attempt uint64 `json:"n"`
	// DoneChunks holds the chunks that have no key since all of their tasks are done.
	DoneChunks string `json:"f,omitempty"`
	Suspected  bool   `json:"x,omitempty"`
	// ChunkSize is missing in heads that do not state it, FormerSize and Migrated in those of
	// jobs that were never split.
	ChunkSize  int          `json:"z,omitempty"`
	FormerSize int          `json:"y,omitempty"`
	Migrated   string       `json:"v,omitempty"`
	First      *chunkRecord `json:"c"`
}

// chunkRecord is the stored form of a chunk. Bindings name their machines by index.
type chunkRecord struct {
	Done     string          `json:"d,omitempty"`
	Machines []string        `json:"m,omitempty"`
	Bindings []bindingRecord `json:"b,omitempty"`
}

// bindingRecord is the stored form of a binding: the fields below in this order.
type bindingRecord [5]uint64

// Fields of a bindingRecord.
const (
	bindingTask    = iota // relative to the chunk's first task
	bindingMachine        // index among the chunk's machines
	bindingAttempt
	bindingToken
	bindingEpoch
)

// RecordError is a stored record of a job that can't be read.
type RecordError struct {
	Job     string
	Problem string
}

// Error names the job and the problem.
func (e *RecordError) Error() string { return fmt.Sprintf("job %s: %s", e.Job, e.Problem) }

// chunks is the number of chunks.
func (j *Job) chunks() int { return (j.Tasks + j.ChunkSize - 1) / j.ChunkSize }

// bounds are the first task of chunk c and the first after it.
func (j *Job) bounds(c int) (lo, hi int) {
	return c * j.ChunkSize, min(j.Tasks, (c+1)*j.ChunkSize)
}

// doneWithin tells whether every task of a range is done.
func (j *Job) doneWithin(lo, hi int) bool {
	for i := lo; i < hi; i++ {
		if !j.Done.Has(i) {
			return false
		}
	}
	return true
}

// Head is the stored form of the job's head.
func (j *Job) Head() json.RawMessage {
	spec := j.Spec
	if j.Attempt > 0 {
		spec.Dependencies = nil // they were done before anything was bound
	}
	head := headRecord{
		Spec:       &spec,
		Nonce:      j.Nonce,
		Attempt:    j.Attempt,
		DoneChunks: j.doneChunks(),
		Suspected:  j.Suspected,
		First:      j.chunkRecord(0),
	}
	if j.sized {
		head.ChunkSize = j.ChunkSize
		head.FormerSize = j.formerSize
		head.Migrated = j.migrated.Format(0, j.chunks())
	}
	return mustjson.Marshal(head)
}

// doneChunks lists the further chunks of which every task is done.
func (j *Job) doneChunks() string {
	var done Set
	for c := 1; c < j.chunks(); c++ {
		if j.doneWithin(j.bounds(c)) {
			done.Add(c)
		}
	}
	return done.Format(0, j.chunks())
}

// chunkRecord is the stored form of chunk c.
func (j *Job) chunkRecord(c int) *chunkRecord {
	lo, hi := j.bounds(c)
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

// HeadNonce is the nonce of the update that wrote a stored head.
func HeadNonce(raw json.RawMessage) (string, error) {
	var head struct {
		Nonce string `json:"w"`
	}
	err := json.Unmarshal(raw, &head)
	return head.Nonce, err
}

// LoadHead reads the stored head.
func (j *Job) LoadHead(raw json.RawMessage) error {
	var head headRecord
	if err := json.Unmarshal(raw, &head); err != nil {
		return err
	}
	if !head.complete() {
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
	return j.load(0, j.ChunkSize, head.First)
}

// complete tells whether a head has what every head has.
func (h *headRecord) complete() bool {
	if h.Spec == nil || h.First == nil || h.ChunkSize < 0 || h.FormerSize < 0 {
		return false
	}
	return h.Spec.Tasks >= 1 && h.Spec.Tasks <= MaxTasks
}

// loadLayout takes the chunk sizes that a head states, if it does.
func (j *Job) loadLayout(head *headRecord) error {
	if head.ChunkSize == 0 {
		return nil
	}
	j.ChunkSize, j.sized, j.formerSize = head.ChunkSize, true, head.FormerSize
	j.migrated = Set{}
	return j.migrated.Parse(head.Migrated, 0, j.chunks())
}

// loadDoneChunks notes the tasks of further chunks that are done altogether.
func (j *Job) loadDoneChunks(ranges string) error {
	var done Set
	if err := done.Parse(ranges, 0, j.chunks()); err != nil {
		return err
	}
	for c := 1; c < j.chunks(); c++ {
		if !done.Has(c) {
			continue
		}
		lo, hi := j.bounds(c)
		for i := lo; i < hi; i++ {
			j.finish(i)
		}
	}
	return nil
}

// LoadChunk reads a further stored chunk.
func (j *Job) LoadChunk(k ChunkKey, raw json.RawMessage) error {
	size := k.Size
	if size == 0 {
		size = j.unstatedSize()
	}
	if k.Index < 1 || k.Index*size >= j.Tasks {
		return &RecordError{Job: j.ID, Problem: "has no chunk " + k.String()}
	}
	j.NoteStoredKey(k)
	var record chunkRecord
	if err := json.Unmarshal(raw, &record); err != nil {
		return err
	}
	return j.load(k.Index*size, size, &record)
}

// load takes a stored chunk of size tasks that begins at task lo.
func (j *Job) load(lo, size int, record *chunkRecord) error {
	hi := min(j.Tasks, lo+size)
	superseded := func(i int) bool { return size == j.formerSize && j.hasMigrated(i) }
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

// loadBinding takes a stored binding of task i.
func (j *Job) loadBinding(i int, machine string, stored bindingRecord) {
	attempt, token, epoch := stored[bindingAttempt], stored[bindingToken], stored[bindingEpoch]
	if known := j.Bound[i]; known != nil && known.Attempt == attempt && known.Machine == machine {
		known.Stored, known.Token, known.Epoch = true, token, epoch
		return
	}
	j.setBinding(i, &Binding{Machine: machine, Attempt: attempt, Token: token, Epoch: epoch, Stored: true})
}

// Cancel makes every stored chunk come up for deletion once nothing is bound.
func (j *Job) Cancel() {
	j.Cancelled = true
	j.dirty[0] = true
	for k := range j.storedKeys {
		if k == j.key(k.Index) {
			j.dirty[k.Index] = true
		}
	}
}

// needsKey tells whether a range of tasks has to be stored apart from the head: not where
// every task of it is done, or the job is cancelled and nothing of it is bound.
func (j *Job) needsKey(lo, hi int) bool {
	if !j.Cancelled {
		return !j.doneWithin(lo, hi)
	}
	for i := lo; i < hi; i++ {
		if j.Bound[i] != nil {
			return true
		}
	}
	return false
}
