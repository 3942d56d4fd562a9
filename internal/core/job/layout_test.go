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

// TestMain fixes the seed of the property tests, and their number: fewer miss a move that is not undone.
func TestMain(m *testing.M) { os.Exit(testseed.Run(m, testseed.Flags{"rapid.checks": "500"})) }

const (
	formerChunk = 16
	smallChunk  = 4
)

// storedJob is a job as its leader has it, together with what the store holds of the job.
type storedJob struct {
	t      *rapid.T
	job    *Job
	head   json.RawMessage
	chunks map[ChunkKey]json.RawMessage
	writes int
	// known is what the store holds of each task.
	known map[int]taskState
}

// taskState is what is stored of a task: its attempt while it is bound, and whether it is done.
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

// flush stores what has changed in one transaction, unless that fails.
func (s *storedJob) flush(fails bool) (more bool) {
	out, more := s.job.TakeDirty(s.writes)
	if len(out) > s.writes {
		s.t.Fatalf("%d writes, at most %d are allowed", len(out), s.writes)
	}
	if fails {
		s.job.RevertWrites(out)
		return true
	}
	s.head = s.job.Head()
	for _, w := range out {
		if w.Value == nil {
			delete(s.chunks, w.Key)
		} else {
			s.chunks[w.Key] = w.Value
		}
	}
	for i := range s.job.Tasks {
		if !s.job.TaskDirty(i) || i < s.job.ChunkSize {
			s.known[i] = stateOf(s.job, i)
		}
	}
	s.check()
	return more
}

// check reads the job as it is stored now. That a task is done may be known early.
func (s *storedJob) check() {
	back := s.read()
	for i := range s.job.Tasks {
		got, want := stateOf(back, i), s.known[i]
		if s.job.Cancelled {
			got.done, want.done = false, false // nobody asks any more
		}
		if got != want && !(got.done && s.job.Done.Has(i)) {
			s.t.Fatalf("task %d is read as %+v, stored as %+v", i, got, want)
		}
	}
}

// flushJobs stores until nothing is left to be stored.
func (s *storedJob) flushAll() {
	for n := 0; s.job.Dirty() || n == 0; n++ {
		if s.flush(false); n > s.job.Tasks+2 {
			s.t.Fatal("storing does not come to an end")
		}
	}
}

// read is what another controller makes of the stored job, in whatever order it gets the chunks.
func (s *storedJob) read() *Job {
	back := New(Spec{ID: s.job.ID}, formerChunk, 0)
	if err := back.LoadHead(s.head); err != nil {
		s.t.Fatal(err)
	}
	keys := slices.SortedFunc(maps.Keys(s.chunks), func(a, b ChunkKey) int {
		return strings.Compare(a.String(), b.String())
	})
	for _, k := range rapid.Permutation(keys).Draw(s.t, "order") {
		parsed, ok := ParseChunkKey(k.String())
		if !ok || parsed != k {
			s.t.Fatalf("key %q is read as %v", k, parsed)
		}
		if err := back.LoadChunk(k, s.chunks[k]); err != nil {
			s.t.Fatal(err)
		}
	}
	return back
}

// change binds, ends or finishes a task.
func (s *storedJob) change() {
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

// A job that is stored in chunks of the former size is split at any moment, amid writes that
// fail: whoever reads it finds all that was stored, at every moment, and no key of it is left at
// the end.
func TestSplitJobReadsBackAsItWasStored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tasks := rapid.IntRange(1, 3*formerChunk+3).Draw(t, "tasks")
		s := &storedJob{
			t:      t,
			job:    New(Spec{ID: "req-1", Tasks: tasks}, formerChunk, 0),
			chunks: map[ChunkKey]json.RawMessage{},
			writes: 4,
			known:  map[int]taskState{},
		}
		for range rapid.IntRange(0, 40).Draw(t, "before") {
			s.change()
		}
		s.flushAll()
		split := false
		for range rapid.IntRange(1, 30).Draw(t, "after") {
			s.change()
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				split = s.job.SplitChunks(smallChunk, s.writes)
				s.flush(rapid.Bool().Draw(t, "fails"))
			case 1:
				s.flush(true)
			case 2:
				s.flushAll()
				compare(t, s.job, s.read())
			case 3: // another leader goes on with what is stored
				s.flushAll()
				s.job = s.read()
			}
		}
		s.flushAll()
		compare(t, s.job, s.read())
		if split && s.job.ChunkSize != smallChunk {
			t.Fatalf("chunks of %d tasks", s.job.ChunkSize)
		}
		s.end()
	})
}

func (s *storedJob) end() {
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
		s.t.Fatalf("keys are left: %v", slices.Collect(maps.Keys(s.chunks)))
	}
}

func compare(t *rapid.T, want, got *Job) {
	if diff := cmp.Diff(want.Bound, got.Bound, cmpopts.EquateEmpty()); diff != "" {
		t.Fatalf("bindings: %s", diff)
	}
	if a, b := want.Done.Format(0, want.Tasks), got.Done.Format(0, want.Tasks); a != b {
		t.Fatalf("done are %q, read back as %q", a, b)
	}
}

// What leaves the head has to go into the transaction that stores the smaller head.
func TestJobIsNotSplitWhereTheHeadsPartsDoNotFit(t *testing.T) {
	j := New(Spec{ID: "req-1", Tasks: formerChunk}, formerChunk, 0)
	for i := range formerChunk {
		j.Bind(i, &Binding{Machine: "vm-1", Attempt: 1})
	}
	parts := formerChunk / smallChunk
	if j.SplitChunks(smallChunk, parts-2) || j.ChunkSize != formerChunk {
		t.Error("split in spite of too few writes")
	}
	if !j.SplitChunks(smallChunk, parts-1) || j.ChunkSize != smallChunk {
		t.Error("not split")
	}
}
