package fairness

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func record(use, base Vector) Record { return Record{Use: use, Base: base} }

func TestDegreeIsTheLeastOverResourcesAskedFor(t *testing.T) {
	for name, c := range map[string]struct {
		record Record
		want   float64
	}{
		"asked for nothing":         {record(Vector{}, Vector{}), 1},
		"below the baseline":        {record(Vector{10, 0, 40}, Vector{20, 0, 40}), 0.5},
		"unasked use does not help": {record(Vector{10, 99, 30}, Vector{20, 0, 20}), 0.5},
		"sharing benefit":           {record(Vector{30, 0, 28}, Vector{20, 0, 20}), 1.4},
	} {
		if got := c.record.Degree(); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

func TestNextFollowsTheDesign(t *testing.T) {
	capacity := Vector{100, 0, 200}
	// Worked by hand. Sums of use over capacity: A 10/100+20/200 = 0.2,
	// B 5/100+30/200 = 0.2, C 30/100+60/200 = 0.6.
	a := Team{Record: record(Vector{10, 0, 20}, Vector{10, 0, 20}), Weight: 1}
	b := Team{Record: record(Vector{5, 0, 30}, Vector{5, 0, 30}), Weight: 1}
	c := Team{Record: record(Vector{30, 0, 60}, Vector{30, 0, 60}), Weight: 1}
	loss := Team{Record: record(Vector{30, 0, 60}, Vector{60, 0, 60}), Weight: 1}
	worse := Team{Record: record(Vector{90, 0, 60}, Vector{300, 0, 60}), Weight: 1}
	heavy := b
	heavy.Weight = 2
	late := c
	late.Overdue = true
	for name, k := range map[string]struct {
		teams []Team
		want  int
	}{
		"least use wins":                              {[]Team{c, a}, 1},
		"ties go by dominant share":                   {[]Team{b, a}, 1},
		"a larger weight makes the share smaller":     {[]Team{a, heavy}, 1},
		"loss of sharing comes first":                 {[]Team{a, loss}, 1},
		"the lowest degree comes first":               {[]Team{loss, worse, a}, 1},
		"the time-out jumps ahead":                    {[]Team{worse, loss, late}, 2},
		"a team alone is next whatever it has used":   {[]Team{c}, 0},
		"a team that asked for nothing has no losses": {[]Team{{Weight: 1}, loss}, 1},
	} {
		if got := Next(k.teams, make([]bool, len(k.teams)), capacity); got != k.want {
			t.Errorf("%s: got %d, want %d", name, got, k.want)
		}
	}
	if got := Next([]Team{a}, []bool{true}, capacity); got != -1 {
		t.Errorf("nobody waits: got %d", got)
	}
}

func TestRecordIntegratesAndForgetsWithTheWindow(t *testing.T) {
	var r Record
	r.Advance(7, 2, Vector{4, 0, 8}, Vector{9, 0, 8}, Vector{6, 0, 10})
	r.Advance(7, 3, Vector{1, 0, 0}, Vector{1, 0, 0}, Vector{6, 0, 10})
	want := Record{Window: 7, Use: Vector{11, 0, 16}, Base: Vector{15, 0, 16}}
	if diff := cmp.Diff(want, r); diff != "" {
		t.Error(diff)
	}
	r.Advance(8, 1, Vector{1, 0, 1}, Vector{1, 0, 1}, Vector{6, 0, 10})
	if r.Use != (Vector{1, 0, 1}) || r.Window != 8 {
		t.Errorf("a new window remembers: %+v", r)
	}
}

func TestSharesFollowGuaranteesOrAreEqualWithoutAny(t *testing.T) {
	if got := Shares(Vector{80, 0, 40}, []float64{60, 20})[1]; got != (Vector{20, 0, 10}) {
		t.Errorf("got %v", got)
	}
	if got := Shares(Vector{80, 0, 40}, []float64{0, 0})[0]; got != (Vector{40, 0, 20}) {
		t.Errorf("without guarantees got %v", got)
	}
}
