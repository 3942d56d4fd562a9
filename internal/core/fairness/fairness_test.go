package fairness

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// record returns a record with the given integrals.
func record(use, base Vector) Record { return Record{Use: use, Baseline: base} }

func TestDegreeIsMinimumOverRequestedResources(t *testing.T) {
	for name, c := range map[string]struct {
		record Record
		want   float64
	}{
		"nothing requested":                        {record(Vector{}, Vector{}), 1},
		"below the baseline":                       {record(Vector{10, 0, 40}, Vector{20, 0, 40}), 0.5},
		"use of a resource that was not requested": {record(Vector{10, 99, 30}, Vector{20, 0, 20}), 0.5},
		"above the baseline":                       {record(Vector{30, 0, 28}, Vector{20, 0, 20}), 1.4},
	} {
		if got := c.record.Degree(); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
}

func TestNextRanksTeams(t *testing.T) {
	capacity := Vector{100, 0, 200}
	// Total use relative to the capacity: a 10/100+20/200 = 0.2, b 5/100+30/200 = 0.2,
	// c 30/100+60/200 = 0.6.
	a := Team{Record: record(Vector{10, 0, 20}, Vector{10, 0, 20}), Weight: 1}
	b := Team{Record: record(Vector{5, 0, 30}, Vector{5, 0, 30}), Weight: 1}
	c := Team{Record: record(Vector{30, 0, 60}, Vector{30, 0, 60}), Weight: 1}
	lossBySharing := Team{Record: record(Vector{30, 0, 60}, Vector{60, 0, 60}), Weight: 1}
	largerLoss := Team{Record: record(Vector{90, 0, 60}, Vector{300, 0, 60}), Weight: 1}
	heavy := b
	heavy.Weight = 2
	overdue := c
	overdue.Overdue = true
	for name, tc := range map[string]struct {
		teams []Team
		want  int
	}{
		"least total use comes first":                            {[]Team{c, a}, 1},
		"ties are broken by dominant use":                        {[]Team{b, a}, 1},
		"a larger weight lowers the dominant use":                {[]Team{a, heavy}, 1},
		"a degree below 1 comes before less use":                 {[]Team{a, lossBySharing}, 1},
		"the lowest degree comes first":                          {[]Team{lossBySharing, largerLoss, a}, 1},
		"an overdue team comes before lower degrees":             {[]Team{largerLoss, lossBySharing, overdue}, 2},
		"a single team is next regardless of its use":            {[]Team{c}, 0},
		"a team that requested nothing does not lose by sharing": {[]Team{{Weight: 1}, lossBySharing}, 1},
	} {
		if got := Next(tc.teams, make([]bool, len(tc.teams)), capacity); got != tc.want {
			t.Errorf("%s: got %d, want %d", name, got, tc.want)
		}
	}
	if got := Next([]Team{a}, []bool{true}, capacity); got != -1 {
		t.Errorf("no team takes part: got %d, want -1", got)
	}
}

func TestAccumulateIntegratesWithinWindow(t *testing.T) {
	var r Record
	r.Accumulate(7, 2, Vector{4, 0, 8}, Vector{9, 0, 8}, Vector{6, 0, 10})
	r.Accumulate(7, 3, Vector{1, 0, 0}, Vector{1, 0, 0}, Vector{6, 0, 10})
	want := Record{Window: 7, Use: Vector{11, 0, 16}, Baseline: Vector{15, 0, 16}}
	if diff := cmp.Diff(want, r); diff != "" {
		t.Error(diff)
	}
	r.Accumulate(8, 1, Vector{1, 0, 1}, Vector{1, 0, 1}, Vector{6, 0, 10})
	if r.Use != (Vector{1, 0, 1}) || r.Window != 8 {
		t.Errorf("record of the previous window is not reset: %+v", r)
	}
}

func TestSharesFollowWeightsOrAreEqual(t *testing.T) {
	if got := Shares(Vector{80, 0, 40}, []float64{60, 20})[1]; got != (Vector{20, 0, 10}) {
		t.Errorf("weights 60 and 20: got share %v of the second team, want a quarter", got)
	}
	if got := Shares(Vector{80, 0, 40}, []float64{0, 0})[0]; got != (Vector{40, 0, 20}) {
		t.Errorf("all weights 0: got share %v of the first team, want half", got)
	}
}
