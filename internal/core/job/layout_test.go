package job

import (
	"maps"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/segmentio/encoding/json"
	"pgregory.net/rapid"

	"pepperlever/internal/testseed"
)

// TestMain fixes the seed and the number of checks of the property tests. Fewer checks do not
// detect a chunk migration that is not reverted after a failed write.
func TestMain(m *testing.M) { os.Exit(testseed.Run(m, testseed.Flags{"rapid.checks": "500"})) }

const (
	previousChunkSize = 16
	smallChunkSize    = 4
)

// storedJob is a job of a leader together with its stored form.
type storedJob struct {
	t         *rapid.T
	job       *Job
	head      json.RawMessage
	chunks    map[ChunkKey]json.RawMessage
	maxWrites int
	// stored holds the expected stored state of each task.
	stored map[int]taskState
}

// taskState is the stored state of a task. attempt is 0 if the task is not bound.
type taskState struct {
	attempt uint64
	done    bool
}

func stateOf(j *Job, i int) taskState {
	s := taskState{done: j.Done.Has(i)}
	if b := j.Bound[i]; b != nil {
		s.attempt = b.Attempt
	}
	return s
}

// flush stores changes in one transaction, or reverts them if the transaction fails. It reports
// whether more changes are left.
func (s *storedJob) flush(fails bool) (more bool) {
	writes, more := s.job.TakeChunkWrites(s.maxWrites)
	if len(writes) > s.maxWrites {
		s.t.Fatalf("got %d writes, want at most %d", len(writes), s.maxWrites)
	}
	if fails {
		s.job.RevertWrites(writes)
		return true
	}
	s.head = s.job.Head()
	for _, w := range writes {
		if w.Value == nil {
			delete(s.chunks, w.Key)
		} else {
			s.chunks[w.Key] = w.Value
		}
	}
	for i := range s.job.Tasks {
		if !s.job.TaskDirty(i) || i < s.job.ChunkSize {
			s.stored[i] = stateOf(s.job, i)
		}
	}
	s.checkStored()
	return more
}

// checkStored loads the stored job and compares it with the expected state. A task may be stored as
// done before its chunk is written, since the head lists the chunks whose tasks are all done.
func (s *storedJob) checkStored() {
	loaded := s.load()
	for i := range s.job.Tasks {
		got, want := stateOf(loaded, i), s.stored[i]
		if s.job.Cancelled {
			got.done, want.done = false, false // chunks of cancelled jobs are deleted once nothing is bound
		}
		if got != want && !(got.done && s.job.Done.Has(i)) {
			s.t.Fatalf("task %d: got %+v, want %+v", i, got, want)
		}
	}
}

// flushAll stores changes until none are left.
func (s *storedJob) flushAll() {
	for n := 0; s.job.Dirty() || n == 0; n++ {
		if s.flush(false); n > s.job.Tasks+2 {
			s.t.Fatal("flushing does not terminate")
		}
	}
}

// load loads the stored job as another controller does, with the chunks in random order.
func (s *storedJob) load() *Job {
	loaded := New(Spec{ID: s.job.ID}, previousChunkSize, 0)
	if err := loaded.LoadHead(s.head); err != nil {
		s.t.Fatal(err)
	}
	keys := slices.SortedFunc(maps.Keys(s.chunks), func(a, b ChunkKey) int {
		return strings.Compare(a.String(), b.String())
	})
	for _, k := range rapid.Permutation(keys).Draw(s.t, "order") {
		parsed, ok := ParseChunkKey(k.String())
		if !ok || parsed != k {
			s.t.Fatalf("key %q: parsed as %v", k, parsed)
		}
		if err := loaded.LoadChunk(k, s.chunks[k]); err != nil {
			s.t.Fatal(err)
		}
	}
	return loaded
}

// changeTask binds or unbinds a random task or marks it as done.
func (s *storedJob) changeTask() {
	i := rapid.IntRange(0, s.job.Tasks-1).Draw(s.t, "task")
	switch bound := s.job.Bound[i] != nil; {
	case s.job.Done.Has(i):
	case bound && rapid.Bool().Draw(s.t, "done"):
		s.job.Finish(i)
	case bound:
		s.job.Unbind(i)
	default:
		s.job.Attempt++
		s.job.Bind(i, &Binding{
			Machine: rapid.SampledFrom([]string{"vm-1", "vm-2"}).Draw(s.t, "machine"),
			Attempt: s.job.Attempt,
			Token:   1,
			Epoch:   1,
			Stored:  true,
		})
	}
}

// The chunks of a stored job are split at a random time, and some writes fail. After every write
// the stored job must load with all of its stored state, and no chunk key may be left once it has
// ended.
func TestSplitJobRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tasks := rapid.IntRange(1, 3*previousChunkSize+3).Draw(t, "tasks")
		s := &storedJob{
			t:         t,
			job:       New(Spec{ID: "req-1", Tasks: tasks}, previousChunkSize, 0),
			chunks:    map[ChunkKey]json.RawMessage{},
			maxWrites: 4,
			stored:    map[int]taskState{},
		}
		for range rapid.IntRange(0, 40).Draw(t, "before") {
			s.changeTask()
		}
		s.flushAll()
		split := false
		for range rapid.IntRange(1, 30).Draw(t, "after") {
			s.changeTask()
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				split = s.job.SplitChunks(smallChunkSize, s.maxWrites)
				s.flush(rapid.Bool().Draw(t, "fails"))
			case 1:
				s.flush(true)
			case 2:
				s.flushAll()
				requireSameTasks(t, s.job, s.load())
			case 3: // another leader takes over the stored job
				s.flushAll()
				s.job = s.load()
			}
		}
		s.flushAll()
		requireSameTasks(t, s.job, s.load())
		if split && s.job.ChunkSize != smallChunkSize {
			t.Fatalf("got a chunk size of %d after the split", s.job.ChunkSize)
		}
		s.endJob()
	})
}

func (s *storedJob) endJob() {
	if rapid.Bool().Draw(s.t, "cancelled") {
		s.job.Cancel()
		for i := range s.job.Tasks {
			if s.job.Bound[i] != nil {
				s.job.Unbind(i)
			}
		}
	} else {
		for i := range s.job.Tasks {
			if !s.job.Done.Has(i) {
				s.job.Finish(i)
			}
		}
	}
	s.flushAll()
	if len(s.chunks) > 0 {
		s.t.Fatalf("got remaining chunk keys %v, want none", slices.Collect(maps.Keys(s.chunks)))
	}
}

func requireSameTasks(t *rapid.T, want, got *Job) {
	if diff := cmp.Diff(want.Bound, got.Bound, cmpopts.EquateEmpty()); diff != "" {
		t.Fatalf("bindings differ (-want +got): %s", diff)
	}
	if a, b := want.Done.Format(0, want.Tasks), got.Done.Format(0, want.Tasks); a != b {
		t.Fatalf("done tasks: want %q, got %q", a, b)
	}
}

// The chunks that leave the head have to be stored in the same transaction as the smaller head, so
// a job must not be split if they do not fit into it.
func TestSplitChunksRequiresNewKeysToFitInTransaction(t *testing.T) {
	j := New(Spec{ID: "req-1", Tasks: previousChunkSize}, previousChunkSize, 0)
	for i := range previousChunkSize {
		j.Bind(i, &Binding{Machine: "vm-1", Attempt: 1})
	}
	parts := previousChunkSize / smallChunkSize
	if j.SplitChunks(smallChunkSize, parts-2) || j.ChunkSize != previousChunkSize {
		t.Error("job was split although the new keys do not fit")
	}
	if !j.SplitChunks(smallChunkSize, parts-1) || j.ChunkSize != smallChunkSize {
		t.Error("job was not split although the new keys fit")
	}
}
