package job

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A job loaded from its stored head and chunks equals the job that was stored.
func TestStoredJobRoundTrip(t *testing.T) {
	spec, err := Parse([]byte(strings.Replace(validSubmission, `"pieces":3`, `"pieces":200`, 1)), 1024)
	if err != nil {
		t.Fatal(err)
	}
	j := New(*spec, 64, 0)
	for i := range 64 {
		j.Finish(i + 64) // the second chunk is done and needs no key
	}
	j.Finish(0)
	j.Finish(199)
	j.Attempt = 9
	for _, i := range []int{1, 5, 130, 198} {
		j.Bind(i, &Binding{Machine: "vm-1", Attempt: uint64(i), Token: 4, Epoch: 2, Stored: true})
	}
	loaded := New(Spec{ID: j.ID, Team: j.Team}, 64, 0)
	writes, more := j.TakeChunkWrites(8)
	if more || len(writes) != 3 {
		t.Fatalf("got %d writes, more %v, want 3 writes and no more", len(writes), more)
	}
	if err := loaded.LoadHead(j.Head()); err != nil {
		t.Fatal(err)
	}
	for _, w := range writes {
		if w.Value == nil {
			if w.Key.Index != 1 {
				t.Errorf("got a delete of chunk %s, want only chunk 1 deleted", w.Key)
			}
			continue
		}
		if err := loaded.LoadChunk(w.Key, w.Value); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(j.Bound, loaded.Bound); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(j.Spec, loaded.Spec); diff != "" {
		t.Error(diff)
	}
	if a, b := j.Done.Format(0, 200), loaded.Done.Format(0, 200); a != b || b != "0,64-127,199" {
		t.Errorf("done tasks: stored %q, loaded %q", a, b)
	}
	if loaded.Attempt != 9 || loaded.PendingTasks() != 200-66-4 {
		t.Errorf("got attempt %d and %d pending tasks, want 9 and 130", loaded.Attempt, loaded.PendingTasks())
	}
}

// The head holds the spec and the first chunk. It has to fit into one store value when 50 of the
// chunk's 64 tasks are bound.
func TestHeadWithManyBindingsFitsInOneValue(t *testing.T) {
	spec, err := Parse([]byte(strings.Replace(validSubmission, `"pieces":3`, `"pieces":100000`, 1)), 1024)
	if err != nil {
		t.Fatal(err)
	}
	const valueBytes = 4096
	j := New(*spec, valueBytes/64, 0)
	for i := range 50 {
		machine := "vm-" + strings.Repeat("9", 5) + string(rune('a'+i%26))
		j.Bind(i, &Binding{Machine: machine, Attempt: 99999, Token: 99999, Epoch: 99})
	}
	if n := len(j.Head()); n > valueBytes {
		t.Errorf("got a head of %d bytes, want at most 4096", n)
	}
}

// LoadHead returns an error for a stored head that is incomplete or inconsistent.
func TestLoadHeadRejectsMalformedHeads(t *testing.T) {
	j := New(Spec{ID: "req-1", Team: "t"}, 64, 0)
	for _, raw := range []string{
		``,
		`{}`,
		`{"s":{"n":5},"c":{"d":"3-9"}}`,
		`{"s":{"n":5},"c":{"b":[[9,0,1,1,1]],"m":["x"]}}`,
		`{"s":{"n":5},"c":{"b":[[1,7,1,1,1]]}}`,
	} {
		if err := j.LoadHead([]byte(raw)); err == nil {
			t.Errorf("LoadHead(%q) succeeded, want an error", raw)
		}
	}
}
