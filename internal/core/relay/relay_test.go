package relay

import (
	"errors"
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

// Entries and machines fit into pages of the limited size and are read back as they were. The
// changes that are written, in any portions and with lost replies, end with the store
// holding exactly those pages.
func TestPagesHoldEverythingWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(512, 8192).Draw(t, "limit")
		published := map[Entry]bool{}
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 5000), 0, 400).Draw(t, "facts") {
			published[Entry{fmt.Sprintf("req-%06d", n%7), n, uint64(n) * 3, fmt.Sprintf("vm-%06d", n), []string{"done", "error", ""}[n%3]}] = true
		}
		machines := map[MachineKind][]string{}
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 9000), 0, 400).Draw(t, "machines") {
			k := MachineKind{Type: "sixteen", Zone: fmt.Sprint("z", n%3), Spot: n%2 == 0, Token: uint64(n % 40), Epoch: 1, NoticeS: n % 4}
			machines[k] = append(machines[k], fmt.Sprintf("vm-%06d", n))
		}
		want := Pages(json.RawMessage(`{"n":1}`), keysOf(published), machines, limit)

		var publication Publication
		stored, versions := map[string]json.RawMessage{}, map[string]uint64{}
		revision := uint64(0)
		// commit does what the store does, and tells whether the conditions held.
		commit := func(changes []Change) bool {
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
				publication.Observe(page, stored[page], revision)
			}
		}
		var late [][]Change
		for round := 0; ; round++ {
			if round > 3 {
				for _, changes := range late {
					commit(changes)
				}
				late = nil
				watch()
			}
			changes := publication.Diff(want, rapid.IntRange(1, 8).Draw(t, "portion"))
			if len(changes) == 0 && late == nil {
				break
			}
			if round < 3 && rapid.Bool().Draw(t, "carried out late") {
				late = append(late, changes)
			} else if commit(changes) && rapid.Bool().Draw(t, "answered") {
				publication.Confirm(changes, revision)
			} else {
				watch()
			}
		}
		read := map[MachineKind][]string{}
		for name, value := range stored {
			if len(value) > limit {
				t.Fatalf("page %s has %d bytes", name, len(value))
			}
			var p Page
			if err := json.Unmarshal(value, &p); err != nil {
				t.Fatal(err)
			}
			if (name == FirstPage) != (p.Heartbeat != nil) {
				t.Fatalf("page %s: heartbeat is %s", name, p.Heartbeat)
			}
			entries, err := p.Entries()
			if err != nil {
				t.Fatal(err)
			}
			for _, e := range entries {
				if !published[e] {
					t.Fatalf("%+v was never published", e)
				}
				delete(published, e)
			}
			for _, g := range p.Machines {
				read[g.MachineKind] = append(read[g.MachineKind], g.Machines...)
			}
		}
		if len(published) > 0 {
			t.Fatalf("%d entries are lost", len(published))
		}
		for k, ids := range machines {
			slices.Sort(ids)
			if slices.Sort(read[k]); !slices.Equal(ids, read[k]) {
				t.Fatalf("%+v: %d machines of %d", k, len(read[k]), len(ids))
			}
		}
		publication.Confirm(publication.Diff(nil, 1<<20), revision+1)
		if !publication.Empty() {
			t.Fatal("pages are left once there is nothing to publish")
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

// Each kind of malformed entry is reported as such, with the job that it belongs to.
func TestMalformedEntriesAreErrors(t *testing.T) {
	for _, s := range []string{"", "1 2 vm", "x 2 vm done", "1 -2 vm done", "1 2 vm done more"} {
		_, err := (&Page{Jobs: []JobEntries{{"req-1", []string{s}}}}).Entries()
		var malformed *MalformedEntryError
		if !errors.As(err, &malformed) || malformed.Job != "req-1" || malformed.Entry != s {
			t.Errorf("%q: got error %v", s, err)
		}
	}
}

// The page with the heartbeat differs each time, and so may others. They must not keep the rest
// from being written, however few pages fit into a transaction.
func TestPagesThatChangeEachTimeLeaveRoomForTheOthers(t *testing.T) {
	machines := map[MachineKind][]string{{Type: "t", Zone: "a"}: {"vm-000001"}, {Type: "t", Zone: "b"}: {"vm-000002"}}
	var entries []Entry
	for n := range 60 {
		entries = append(entries, Entry{Job: "req-000001", Index: n, Attempt: 1, Machine: "vm-000001", Reason: "done"})
	}
	var publication Publication
	stored := map[string]bool{}
	for round := range 40 {
		for n := range entries {
			entries[n].Attempt = uint64(round + 1)
		}
		want := Pages(json.RawMessage(fmt.Sprintf(`{"n":%d}`, round)), entries, machines, 512)
		changes := publication.Diff(want, 2)
		if changes[0].Page != FirstPage {
			t.Fatalf("round %d: %s before the heartbeat", round, changes[0].Page)
		}
		for _, c := range changes {
			stored[c.Page] = true
		}
		publication.Confirm(changes, uint64(round+1))
		if len(stored) == len(want) {
			return
		}
	}
	t.Errorf("of the pages only %v were ever written", slices.Sorted(maps.Keys(stored)))
}
