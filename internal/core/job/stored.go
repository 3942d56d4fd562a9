package job

import (
	"fmt"
	"maps"
	"slices"

	"github.com/segmentio/encoding/json"
)

// record is the stored form of the head, chunk that of each further chunk.
type record struct {
	Spec     *Spec  `json:"s"`
	Nonce    string `json:"w,omitempty"`
	Attempt  uint64 `json:"n"`
	Finished string `json:"f,omitempty"`
	Suspect  bool   `json:"x,omitempty"`
	// ChunkSize is missing in heads that were stored before it was, Former and Moved in
	// those of jobs that were never split.
	ChunkSize int    `json:"z,omitempty"`
	Former    int    `json:"y,omitempty"`
	Moved     string `json:"v,omitempty"`
	First     *chunk `json:"c"`
}

type chunk struct {
	Done     string      `json:"d,omitempty"`
	Machines []string    `json:"m,omitempty"`
	Bound    [][5]uint64 `json:"b,omitempty"`
}

func (j *Job) chunks() int { return (j.Tasks + j.ChunkSize - 1) / j.ChunkSize }

func (j *Job) bounds(c int) (lo, hi int) {
	return c * j.ChunkSize, min(j.Tasks, (c+1)*j.ChunkSize)
}

func (j *Job) chunkDone(c int) bool {
	lo, hi := j.bounds(c)
	return j.doneWithin(lo, hi)
}

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
	var finished Set
	for c := 1; c < j.chunks(); c++ {
		if j.chunkDone(c) {
			finished.Add(c)
		}
	}
	spec := j.Spec
	if j.Attempt > 0 {
		spec.Dependencies = nil // they were done before anything was bound
	}
	r := record{Spec: &spec, Nonce: j.Nonce, Attempt: j.Attempt,
		Finished: finished.Format(0, j.chunks()), Suspect: j.Suspected, First: j.chunk(0)}
	if j.sized {
		r.ChunkSize, r.Former, r.Moved = j.ChunkSize, j.former, j.moved.Format(0, j.chunks())
	}
	raw, err := json.Marshal(r)
	if err != nil {
		panic(err) // plain data always has a JSON form
	}
	return raw
}

func (j *Job) chunk(c int) *chunk {
	lo, hi := j.bounds(c)
	out := &chunk{Done: j.Done.Format(lo, hi)}
	index := map[string]int{}
	for _, i := range slices.Sorted(maps.Keys(j.Bound)) {
		if i < lo || i >= hi {
			continue
		}
		b := j.Bound[i]
		m, ok := index[b.Machine]
		if !ok {
			m = len(out.Machines)
			index[b.Machine] = m
			out.Machines = append(out.Machines, b.Machine)
		}
		out.Bound = append(out.Bound, [5]uint64{uint64(i - lo), uint64(m), b.Attempt, b.Token, b.Epoch})
	}
	return out
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
	var r record
	if err := json.Unmarshal(raw, &r); err != nil {
		return err
	}
	if r.Spec == nil || r.First == nil || r.Spec.Tasks < 1 || r.Spec.Tasks > MaxTasks || r.ChunkSize < 0 || r.Former < 0 {
		return fmt.Errorf("job %s: stored head is incomplete", j.ID)
	}
	id := j.ID
	j.Spec = *r.Spec
	j.ID = id
	j.Nonce, j.Attempt, j.Suspected = r.Nonce, r.Attempt, r.Suspect
	j.StoredAttempt = r.Attempt
	if r.ChunkSize > 0 {
		j.ChunkSize, j.sized, j.former = r.ChunkSize, true, r.Former
		j.moved = Set{}
		if err := j.moved.Parse(r.Moved, 0, j.chunks()); err != nil {
			return err
		}
	}
	var finished Set
	if err := finished.Parse(r.Finished, 0, j.chunks()); err != nil {
		return err
	}
	for c := 1; c < j.chunks(); c++ {
		if finished.Has(c) {
			lo, hi := j.bounds(c)
			for i := lo; i < hi; i++ {
				j.finish(i)
			}
		}
	}
	return j.load(0, j.ChunkSize, r.First)
}

// LoadChunk reads a further stored chunk.
func (j *Job) LoadChunk(k ChunkKey, raw json.RawMessage) error {
	size := k.Size
	if size == 0 {
		size = j.formerSize()
	}
	if k.Index < 1 || k.Index*size >= j.Tasks {
		return fmt.Errorf("job %s has no chunk %s", j.ID, k)
	}
	j.NoteStoredKey(k)
	var ch chunk
	if err := json.Unmarshal(raw, &ch); err != nil {
		return err
	}
	return j.load(k.Index*size, size, &ch)
}

// superseding tells whether task i is no longer read from keys of the former size.
func (j *Job) superseding(i int) bool { return j.former > 0 && j.moved.Has(i/j.ChunkSize) }

// load takes over a stored chunk of size tasks that begins at lo.
func (j *Job) load(lo, size int, ch *chunk) error {
	hi := min(j.Tasks, lo+size)
	skips := func(i int) bool { return size == j.former && j.superseding(i) }
	if err := j.Done.Parse(ch.Done, lo, hi); err != nil {
		return err
	}
	kept := map[int]bool{}
	for _, b := range ch.Bound {
		i := lo + int(b[0])
		if i >= hi || int(b[1]) >= len(ch.Machines) {
			return fmt.Errorf("job %s: stored binding is out of bounds", j.ID)
		}
		if skips(i) {
			continue
		}
		kept[i] = true
		n := &Binding{Machine: ch.Machines[b[1]], Attempt: b[2], Token: b[3], Epoch: b[4], Stored: true}
		if old := j.Bound[i]; old != nil && old.Attempt == n.Attempt && old.Machine == n.Machine {
			old.Stored, old.Token, old.Epoch = true, n.Token, n.Epoch
			continue
		}
		j.set(i, n)
	}
	for i := range j.Bound {
		if i >= lo && i < hi && !kept[i] && !skips(i) {
			j.clear(i)
		}
	}
	return nil
}

// Cancel makes every stored chunk come up for deletion once nothing is bound.
func (j *Job) Cancel() {
	j.Cancelled = true
	j.dirty[0] = true
	for k := range j.stored {
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
