package relay

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"

	"github.com/segmentio/encoding/json"
	"pgregory.net/rapid"

	"pepperlever/internal/testseed"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { os.Exit(testseed.Run(m, nil)) }

// Whatever a controller has to say fits into pages and is read again as it was, and
// the changes that are written, in any portions and with lost answers, end with the
// store holding those pages.
func TestPagesHoldEverythingWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(512, 8192).Draw(t, "limit")
		said := map[Entry]bool{}
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 5000), 0, 400).Draw(t, "facts") {
			said[Entry{fmt.Sprintf("req-%06d", n%7), n, uint64(n) * 3, fmt.Sprintf("vm-%06d", n), []string{"done", "error", ""}[n%3]}] = true
		}
		machines := map[MachineKind][]string{}
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 9000), 0, 400).Draw(t, "machines") {
			k := MachineKind{Type: "sixteen", Zone: fmt.Sprint("z", n%3), Spot: n%2 == 0, Token: uint64(n % 40), Epoch: 1, NoticeS: n % 4}
			machines[k] = append(machines[k], fmt.Sprintf("vm-%06d", n))
		}
		want := Pages(json.RawMessage(`{"n":1}`), keysOf(said), machines, limit)

		var board Publication
		stored, versions := map[string]json.RawMessage{}, map[string]uint64{}
		revision := uint64(0)
		// carry does what the state service does, and tells whether the conditions held.
		carry := func(changes []Change) bool {
			for _, c := range changes {
				if versions[c.Page] != c.Version {
					return false
				}
			}
			revision++
			for _, c := range changes {
				stored[c.Page], versions[c.Page] = c.Value, revision
				if c.Value == nil {
					delete(stored, c.Page)
					versions[c.Page] = 0
				}
			}
			return true
		}
		watch := func() {
			for page := range versions {
				board.Observe(page, stored[page], revision)
			}
		}
		var late [][]Change
		for round := 0; ; round++ {
			if round > 3 {
				for _, changes := range late {
					carry(changes)
				}
				late = nil
				watch()
			}
			changes := board.Diff(want, rapid.IntRange(1, 8).Draw(t, "portion"))
			if len(changes) == 0 && late == nil {
				break
			}
			if round < 3 && rapid.Bool().Draw(t, "carried out late") {
				late = append(late, changes)
			} else if carry(changes) && rapid.Bool().Draw(t, "answered") {
				board.Confirm(changes, revision)
			} else {
				watch()
			}
		}
		heard := map[MachineKind][]string{}
		for name, value := range stored {
			if len(value) > limit {
				t.Fatalf("page %s has %d bytes", name, len(value))
			}
			var p Page
			if err := json.Unmarshal(value, &p); err != nil {
				t.Fatal(err)
			}
			if (name == FirstPage) != (p.Heartbeat != nil) {
				t.Fatalf("page %s: sign of life is %s", name, p.Heartbeat)
			}
			facts, err := p.Entries()
			if err != nil {
				t.Fatal(err)
			}
			for _, f := range facts {
				if !said[f] {
					t.Fatalf("%+v was never said", f)
				}
				delete(said, f)
			}
			for _, g := range p.Machines {
				heard[g.MachineKind] = append(heard[g.MachineKind], g.Machines...)
			}
		}
		if len(said) > 0 {
			t.Fatalf("%d facts are lost", len(said))
		}
		for k, ids := range machines {
			slices.Sort(ids)
			if slices.Sort(heard[k]); !slices.Equal(ids, heard[k]) {
				t.Fatalf("%+v: %d machines of %d", k, len(heard[k]), len(ids))
			}
		}
		board.Confirm(board.Diff(nil, 1<<20), revision+1)
		if !board.Empty() {
			t.Fatal("pages are left once there is nothing to say")
		}
	})
}

func keysOf(m map[Entry]bool) []Entry {
	var out []Entry
	for f := range m {
		out = append(out, f)
	}
	return out
}

func TestMalformedFactsAreErrors(t *testing.T) {
	for _, s := range []string{"", "1 2 vm", "x 2 vm done", "1 -2 vm done", "1 2 vm done more"} {
		if _, err := (&Page{Jobs: []JobEntries{{"req-1", []string{s}}}}).Entries(); err == nil {
			t.Errorf("%q is taken", s)
		}
	}
}

// The page with the sign of life is unlike the one before each time, and so may others
// be. They must not keep the rest from being written: with one page in a transaction no
// machine was ever told of, and a renter gave seven hundred back as silent.
func TestPagesThatChangeEachTimeLeaveRoomForTheOthers(t *testing.T) {
	machines := map[MachineKind][]string{{Type: "t", Zone: "a"}: {"vm-000001"}, {Type: "t", Zone: "b"}: {"vm-000002"}}
	var facts []Entry
	for n := range 60 {
		facts = append(facts, Entry{Job: "req-000001", Index: n, Attempt: 1, Machine: "vm-000001", Reason: "done"})
	}
	var board Publication
	stored := map[string]bool{}
	for round := range 40 {
		for n := range facts {
			facts[n].Attempt = uint64(round + 1)
		}
		want := Pages(json.RawMessage(fmt.Sprintf(`{"n":%d}`, round)), facts, machines, 512)
		changes := board.Diff(want, 2)
		if changes[0].Page != FirstPage {
			t.Fatalf("round %d: %s before the sign of life", round, changes[0].Page)
		}
		for _, c := range changes {
			stored[c.Page] = true
		}
		board.Confirm(changes, uint64(round+1))
		if len(stored) == len(want) {
			return
		}
	}
	t.Errorf("of the pages only %v were ever written", slices.Sorted(maps.Keys(stored)))
}
