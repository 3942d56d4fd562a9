package job

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// A ledger that diverges from the bindings would overcommit machines or leave them unused. The test
// changes bindings at random, also by loading heads that another leader has stored, and compares the
// ledger with a recount.
func TestLedgerMatchesRecountOfBindings(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	ledger, jobs := NewLedger(), []*Job(nil)
	machines := []string{"m1", "m2", "m3"}
	for n := range 4 {
		j := New(Spec{ID: "req-" + string(rune('a'+n)), Tasks: 40, Need: Resources{CPUs: float64(n + 1)}}, 16, 0)
		jobs = append(jobs, j)
		ledger.Add(j)
	}
	for step := range 2000 {
		j, i := jobs[rng.IntN(len(jobs))], rng.IntN(40)
		switch rng.IntN(5) {
		case 0, 1:
			if !j.Done.Has(i) {
				j.Bind(i, &Binding{Machine: machines[rng.IntN(3)], Attempt: uint64(step), Since: time.Second})
			}
		case 2:
			j.Unbind(i)
		case 3:
			if rng.IntN(20) == 0 {
				j.Finish(i)
			}
		case 4: // another leader has stored the job in the meantime
			other := New(j.Spec, 16, 0)
			if err := other.LoadHead(j.Head()); err != nil {
				t.Fatal(err)
			}
			other.Bind(3, &Binding{Machine: "m2", Attempt: uint64(step)})
			if err := j.LoadHead(other.Head()); err != nil {
				t.Fatal(err)
			}
		}
	}
	recount := func() map[string]float64 {
		want := map[string]float64{}
		for _, j := range jobs {
			for _, b := range j.Bound {
				want[b.Machine] += j.Need.CPUs
			}
		}
		return want
	}
	checkLoads := func(want map[string]float64) {
		t.Helper()
		got := map[string]float64{}
		for _, m := range machines {
			if load := ledger.Load(m); load != nil {
				got[m] = load.Need.CPUs
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
	}
	checkLoads(recount())
	for _, j := range jobs {
		ledger.Remove(j)
	}
	checkLoads(map[string]float64{})
}
