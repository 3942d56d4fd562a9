package job

import (
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const valid = `{"uid":"req-1","leverClass":"k","crew":"t","shape":"batch","urgency":"urgent","pieces":3,"vcpus":1.5,
"accelerators":0.0,"memoryGb":2.0,"bundle":"i","pullGb":1.0,"builds":null,"yard":null,"samePlace":false,"spread":false,
"loaners":true,"guessS":5.0,"markEveryS":0.0,"markCostS":0.0,"dueS":null,"unknown":[1]}`

func TestSubmissionsAreTakenOrRefusedWithTheFieldAtFault(t *testing.T) {
	if _, err := Parse([]byte(valid), 1024); err != nil {
		t.Fatalf("valid submission: %v", err)
	}
	for name, c := range map[string]struct{ body, want string }{
		"not JSON":        {`{"uid":`, "valid submission"},
		"no object":       {`[1]`, "object"},
		"missing":         {strings.Replace(valid, `"crew":"t",`, "", 1), "team"},
		"null":            {strings.Replace(valid, `"spread":false`, `"spread":null`, 1), "spread"},
		"wrong type":      {strings.Replace(valid, `"pieces":3`, `"pieces":"3"`, 1), "submission"},
		"negative":        {strings.Replace(valid, `"vcpus":1.5`, `"vcpus":-1`, 1), "cpus"},
		"no tasks":        {strings.Replace(valid, `"pieces":3`, `"pieces":0`, 1), "task count"},
		"too many tasks":  {strings.Replace(valid, `"pieces":3`, `"pieces":100001`, 1), "task count"},
		"fractional":      {strings.Replace(valid, `"pieces":3`, `"pieces":2.5`, 1), "submission"},
		"unknown kind":    {strings.Replace(valid, `"batch"`, `"bunch"`, 1), "kind"},
		"malformed id":    {strings.Replace(valid, `"req-1"`, `"req-1/2"`, 1), "job id"},
		"huge":            {strings.Replace(valid, `"i"`, `"`+strings.Repeat("i", 2000)+`"`, 1), "too long"},
		"other id prefix": {strings.Replace(valid, `"req-1"`, `"job-1"`, 1), "job id"},
	} {
		if _, err := Parse([]byte(c.body), 1024); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: got %v, want something on %q", name, err, c.want)
		}
	}
}

func TestStoredJobComesBackAsItWas(t *testing.T) {
	spec, err := Parse([]byte(strings.Replace(valid, `"pieces":3`, `"pieces":200`, 1)), 1024)
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

func TestFullChunkFitsIntoOneValue(t *testing.T) {
	spec, err := Parse([]byte(strings.Replace(valid, `"pieces":3`, `"pieces":100000`, 1)), 1024)
	if err != nil {
		t.Fatal(err)
	}
	const valueBytes = 4096
	j := New(*spec, valueBytes/64, 0)
	for i := range 50 {
		j.Bind(i, &Binding{Machine: "vm-" + strings.Repeat("9", 5) + string(rune('a'+i%26)), Attempt: 99999, Token: 99999, Epoch: 99})
	}
	if n := len(j.Head()); n > valueBytes {
		t.Errorf("head has %d bytes", n)
	}
}

func TestDamagedRecordsAreRefusedNotBelieved(t *testing.T) {
	j := New(Spec{ID: "req-1", Team: "t"}, 64, 0)
	for _, raw := range []string{``, `{}`, `{"s":{"n":5},"c":{"d":"3-9"}}`, `{"s":{"n":5},"c":{"b":[[9,0,1,1,1]],"m":["x"]}}`, `{"s":{"n":5},"c":{"b":[[1,7,1,1,1]]}}`} {
		if err := j.LoadHead([]byte(raw)); err == nil {
			t.Errorf("%q was taken", raw)
		}
	}
}

func TestNextWaitingFindsTasksThatCameBack(t *testing.T) {
	j := New(Spec{ID: "req-1", Tasks: 4}, 64, 0)
	for i := range 4 {
		j.Bind(i, &Binding{})
	}
	if got := j.NextPending(0); got != -1 {
		t.Errorf("all are bound, got %d", got)
	}
	j.Unbind(2)
	j.Unbind(1)
	if a, b := j.NextPending(0), j.NextPending(2); a != 1 || b != 2 {
		t.Errorf("got %d and %d", a, b)
	}
}

// A claim is what a home is about to store; late or stale ones must not stand
// for bindings.
func TestClaimsGiveWayToWhatIsStored(t *testing.T) {
	home, mirror := New(Spec{ID: "req-1", Tasks: 4}, 16, 0), New(Spec{ID: "req-1", Tasks: 4}, 16, 0)
	sync := func() {
		t.Helper()
		if err := mirror.LoadHead(home.Head()); err != nil {
			t.Fatal(err)
		}
	}
	sync()
	mirror.Claim(0, &Binding{Machine: "m", Attempt: 1})
	mirror.Claim(1, &Binding{Machine: "m", Attempt: 2})
	home.Attempt = 2
	home.Bind(0, &Binding{Machine: "m", Attempt: 1, Token: 7, Epoch: 3})
	sync()
	if b := mirror.Bound[0]; b == nil || !b.Stored || b.Token != 7 || b.Epoch != 3 {
		t.Errorf("stored binding is %+v", b)
	}
	if mirror.Bound[1] != nil {
		t.Error("a claim outlived the store's word")
	}
	home.Finish(0)
	sync()
	mirror.Claim(0, &Binding{Machine: "m", Attempt: 9})
	mirror.Claim(2, &Binding{Machine: "m", Attempt: 2})
	if len(mirror.Bound) != 0 {
		t.Error("a late claim stands for a binding")
	}
	mirror.Claim(3, &Binding{Machine: "m", Attempt: 3})
	mirror.DropUnstored()
	if mirror.PendingTasks() != 3 {
		t.Errorf("%d tasks wait", mirror.PendingTasks())
	}
}
