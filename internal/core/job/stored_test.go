package job

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// A job reads back from its head and chunks as it was stored.
func TestStoredJobReadsBackAsItWas(t *testing.T) {
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
	back := New(Spec{ID: j.ID, Team: j.Team}, 64, 0)
	writes, more := j.TakeDirty(8)
	if more || len(writes) != 3 {
		t.Fatalf("got %d writes, more %v", len(writes), more)
	}
	if err := back.LoadHead(j.Head()); err != nil {
		t.Fatal(err)
	}
	for _, w := range writes {
		if w.Value == nil {
			if w.Key.Index != 1 {
				t.Errorf("chunk %s is deleted", w.Key)
			}
			continue
		}
		if err := back.LoadChunk(w.Key, w.Value); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff(j.Bound, back.Bound); diff != "" {
		t.Error(diff)
	}
	if diff := cmp.Diff(j.Spec, back.Spec); diff != "" {
		t.Error(diff)
	}
	if a, b := j.Done.Format(0, 200), back.Done.Format(0, 200); a != b || b != "0,64-127,199" {
		t.Errorf("done tasks %q came back as %q", a, b)
	}
	if back.Attempt != 9 || back.PendingTasks() != 200-66-4 {
		t.Errorf("attempt %d, %d waiting", back.Attempt, back.PendingTasks())
	}
}

// A full first chunk of the default size fits into a value, together with the description.
func TestFullChunkFitsIntoOneValue(t *testing.T) {
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
		t.Errorf("head has %d bytes", n)
	}
}

// A stored head that is incomplete or contradicts itself is an error.
func TestDamagedHeadsAreErrors(t *testing.T) {
	j := New(Spec{ID: "req-1", Team: "t"}, 64, 0)
	for _, raw := range []string{
		``,
		`{}`,
		`{"s":{"n":5},"c":{"d":"3-9"}}`,
		`{"s":{"n":5},"c":{"b":[[9,0,1,1,1]],"m":["x"]}}`,
		`{"s":{"n":5},"c":{"b":[[1,7,1,1,1]]}}`,
	} {
		if err := j.LoadHead([]byte(raw)); err == nil {
			t.Errorf("%q was taken", raw)
		}
	}
}
