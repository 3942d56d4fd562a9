package job

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/segmentio/encoding/json"
)

// Binding ties a task to a machine before any start is sent. It ends only on
// proof that the task is gone.
type Binding struct {
	Machine string
	Attempt uint64
	// Term is the only fencing token under which the start may be sent, and
	// Session the only session of the worker that may carry it out. A report
	// under a newer one in which the task is absent proves that it is gone.
	Term, Session uint64

	// The rest is not stored.

	// Stored is set once the binding is in the store; before that no start
	// may be sent.
	Stored bool
	// State is what the worker last reported, empty before the first report.
	State string
	// Since is when the binding was made or taken over, StopSent when a stop
	// was asked for.
	Since, StopSent, FencedAt time.Duration
	Stopping                  bool
	// Sent is set once the start was handed to the machine's controller; no
	// start is ever sent twice.
	Sent bool
}

// Job is one accepted job that is not final.
type Job struct {
	Spec
	// Version is the revision of the job's head key, 0 before it is known.
	Version   uint64
	Nonce     string
	Cancelled bool
	Done      Set
	Bound     map[int]*Binding
	// Attempt is the highest attempt number in use, StoredAttempt the highest that
	// the store is known to hold. No higher one can have been started by a home
	// that knows no more.
	Attempt, StoredAttempt uint64
	// ChunkSize is the number of tasks stored under one key.
	ChunkSize int
	// dirty names the chunks whose stored form is out of date.
	dirty map[int]bool

	// InFlight is set while a transaction on the job is not answered.
	InFlight bool
	// Suspected is set while the job is taken to have been submitted with a
	// mistake, Proven once a task of it has succeeded. FailedOn names the
	// machines that it has failed on since, Probes counts its tries, NotBefore
	// delays the next start.
	Suspected, Proven bool
	FailedOn          []string
	Probes            int
	NotBefore         time.Duration
	// Begun is set once a task was seen running.
	Begun bool
	// Urgent asks for the job to be stored without delay; StoredAt is when it
	// last was, CancelledAt when its cancellation became known.
	Urgent                bool
	StoredAt, CancelledAt time.Duration
	// CancelAsked is the time of day of the cancellation in milliseconds, 0 if
	// it is not known.
	CancelAsked int64
	// ClaimedAt is when the newest bindings were made.
	ClaimedAt time.Duration
	// WaitingSince is when the job last got room or was accepted.
	WaitingSince time.Duration
	// PreemptedAt is when room was last made for it.
	PreemptedAt time.Duration
	// Ended lists the attempts that have exited since the job was last stored;
	// their workers forget them once the store holds what became of them.
	Ended []Exit
	// Running is how many tasks ran when they were counted, at CountedAt.
	Running   int
	CountedAt time.Duration
	low       int
	stored    map[int]bool
	ledger    *Ledger
}

// Exit is an attempt of task Index that has ended on a machine.
type Exit struct {
	Machine string
	Index   int
	Attempt uint64
}

// New makes a job of a Spec.
func New(s Spec, chunkSize int, now time.Duration) *Job {
	return &Job{Spec: s, Bound: map[int]*Binding{}, ChunkSize: chunkSize, dirty: map[int]bool{}, WaitingSince: now}
}

// record is the stored form of the head, chunk that of each further chunk.
type record struct {
	Spec     *Spec  `json:"s"`
	Nonce    string `json:"w,omitempty"`
	Attempt  uint64 `json:"n"`
	Finished string `json:"f,omitempty"`
	Suspect  bool   `json:"x,omitempty"`
	First    *chunk `json:"c"`
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
	raw, err := json.Marshal(record{Spec: &j.Spec, Nonce: j.Nonce, Attempt: j.Attempt,
		Finished: finished.Format(0, j.chunks()), Suspect: j.Suspected, First: j.chunk(0)})
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
		out.Bound = append(out.Bound, [5]uint64{uint64(i - lo), uint64(m), b.Attempt, b.Term, b.Session})
	}
	return out
}

// ChunkWrite is a write of one further chunk; a nil Value deletes it.
type ChunkWrite struct {
	Chunk int
	Value json.RawMessage
}

// TakeDirty returns the writes of at most limit changed chunks besides the
// head, and whether more are left.
func (j *Job) TakeDirty(limit int) (out []ChunkWrite, more bool) {
	for _, c := range slices.Sorted(maps.Keys(j.dirty)) {
		if c > 0 && len(out) == limit {
			return out, true
		}
		delete(j.dirty, c)
		if c == 0 {
			continue
		}
		w := ChunkWrite{Chunk: c}
		if j.unused(c) {
			delete(j.stored, c)
		} else {
			j.MarkStored(c)
			raw, err := json.Marshal(j.chunk(c))
			if err != nil {
				panic(err) // plain data always has a JSON form
			}
			w.Value = raw
		}
		out = append(out, w)
	}
	return out, false
}

// Dirty tells whether something waits to be stored.
func (j *Job) Dirty() bool { return len(j.dirty) > 0 }

// DirtyChunks counts the keys that wait to be stored.
func (j *Job) DirtyChunks() int { return len(j.dirty) }

// DirtyAt tells whether task i waits to be stored.
func (j *Job) DirtyAt(i int) bool { return j.dirty[i/j.ChunkSize] }

// Touch marks task i as changed.
func (j *Job) Touch(i int) { j.dirty[i/j.ChunkSize] = true }

// Retouch marks chunks as changed again after a write that did not happen.
func (j *Job) Retouch(writes []ChunkWrite) {
	j.dirty[0] = true
	for _, w := range writes {
		j.dirty[w.Chunk] = true
	}
}

// LoadHead reads the stored head.
func (j *Job) LoadHead(raw json.RawMessage) error {
	var r record
	if err := json.Unmarshal(raw, &r); err != nil {
		return err
	}
	if r.Spec == nil || r.First == nil || r.Spec.Tasks < 1 || r.Spec.Tasks > MaxTasks {
		return fmt.Errorf("job %s: stored head is incomplete", j.ID)
	}
	id := j.ID
	j.Spec = *r.Spec
	j.ID = id
	j.Nonce, j.Attempt, j.Suspected = r.Nonce, r.Attempt, r.Suspect
	j.StoredAttempt = r.Attempt
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
	return j.load(0, r.First)
}

// LoadChunk reads a further stored chunk.
func (j *Job) LoadChunk(c int, raw json.RawMessage) error {
	if c < 1 || c >= j.chunks() {
		return fmt.Errorf("job %s has no chunk %d", j.ID, c)
	}
	j.MarkStored(c)
	var ch chunk
	if err := json.Unmarshal(raw, &ch); err != nil {
		return err
	}
	return j.load(c, &ch)
}

func (j *Job) load(c int, ch *chunk) error {
	lo, hi := j.bounds(c)
	if err := j.Done.Parse(ch.Done, lo, hi); err != nil {
		return err
	}
	kept := map[int]bool{}
	for _, b := range ch.Bound {
		i := lo + int(b[0])
		if i >= hi || int(b[1]) >= len(ch.Machines) {
			return fmt.Errorf("job %s: stored binding is out of bounds", j.ID)
		}
		kept[i] = true
		n := &Binding{Machine: ch.Machines[b[1]], Attempt: b[2], Term: b[3], Session: b[4], Stored: true}
		if old := j.Bound[i]; old != nil && old.Attempt == n.Attempt && old.Machine == n.Machine {
			old.Stored, old.Term, old.Session = true, n.Term, n.Session
			continue
		}
		j.set(i, n)
	}
	for i := range j.Bound {
		if i >= lo && i < hi && !kept[i] {
			j.clear(i)
		}
	}
	return nil
}

func (j *Job) finish(i int) {
	j.Done.Add(i)
	j.clear(i)
}

// Bind ties task i to a machine under a new attempt.
func (j *Job) Bind(i int, b *Binding) {
	j.set(i, b)
	j.Touch(i)
}

// Claim notes a binding that the job's home is about to store. One that the
// stored state is already past is ignored. Whatever the home stores next
// replaces it.
func (j *Job) Claim(i int, b *Binding) {
	if i < j.Tasks && !j.Done.Has(i) && j.Bound[i] == nil && b.Attempt > j.Attempt {
		j.set(i, b)
	}
}

// DropClaims forgets what an earlier home was about to store.
func (j *Job) DropClaims() {
	for i, b := range j.Bound {
		if !b.Stored {
			j.clear(i)
		}
	}
	j.low = 0
}

// Unbind ends the binding of task i.
func (j *Job) Unbind(i int) {
	j.clear(i)
	j.low = min(j.low, i)
	j.Touch(i)
}

// Finish records that task i is done.
func (j *Job) Finish(i int) {
	j.finish(i)
	j.Touch(i)
}

// Succeeded clears the job of the suspicion of a mistake.
func (j *Job) Succeeded() {
	j.Proven, j.Suspected, j.FailedOn, j.Probes, j.NotBefore = true, false, nil, 0, 0
}

// Waiting is the number of tasks that are neither done nor bound.
func (j *Job) Waiting() int {
	if j.Cancelled {
		return 0
	}
	return j.Tasks - j.Done.Len() - len(j.Bound)
}

// NextWaiting finds the first waiting task at or after i, or -1.
func (j *Job) NextWaiting(i int) int {
	i = max(i, j.low)
	for first := i == j.low; i < j.Tasks; i++ {
		if !j.Done.Has(i) && j.Bound[i] == nil {
			if first {
				j.low = i
			}
			return i
		}
	}
	return -1
}

// Complete tells whether every task is done.
func (j *Job) Complete() bool { return j.Done.Len() == j.Tasks }

// SplitTask takes a task id apart.
func SplitTask(id string) (jobID string, index int, ok bool) {
	cut := strings.LastIndexByte(id, '/')
	if cut < 0 {
		return "", 0, false
	}
	n, err := strconv.Atoi(id[cut+1:])
	return id[:cut], n, err == nil && n >= 0 && n < MaxTasks && ValidID(id[:cut])
}
