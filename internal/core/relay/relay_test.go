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

// TestPagesRoundTripWithinSizeLimit checks that all entries and machines are read back from pages
// within the size limit, and that the store ends up with exactly these pages regardless of batch
// sizes, delayed writes and lost replies.
func TestPagesRoundTripWithinSizeLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(512, 8192).Draw(t, "limit")
		published := map[Entry]bool{}
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 5000), 0, 400).Draw(t, "entries") {
			published[Entry{fmt.Sprintf("req-%06d", n%7), n, uint64(n) * 3, fmt.Sprintf("vm-%06d", n), []string{"done", "error", ""}[n%3]}] = true
		}
		machines := map[MachineKind][]string{}
		for _, n := range rapid.SliceOfN(rapid.IntRange(0, 9000), 0, 400).Draw(t, "machines") {
			k := MachineKind{Type: "sixteen", Zone: fmt.Sprint("z", n%3), Spot: n%2 == 0, Token: uint64(n % 40), Epoch: 1, NoticeS: n % 4}
			machines[k] = append(machines[k], fmt.Sprintf("vm-%06d", n))
		}
		want := Pages(json.RawMessage(`{"n":1}`), entryList(published), machines, limit)

		var publication Publication
		stored, versions := map[string]json.RawMessage{}, map[string]uint64{}
		revision := uint64(0)
		// commit applies a transaction like the store, and reports whether its conditions held.
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
		// observeAll delivers the current state of the pages, like a watch of the store.
		observeAll := func() {
			for page := range versions {
				publication.Observe(page, stored[page], revision)
			}
		}
		var delayed [][]Change
		for round := 0; ; round++ {
			if round > 3 {
				for _, changes := range delayed {
					commit(changes)
				}
				delayed = nil
				observeAll()
			}
			changes := publication.Diff(want, rapid.IntRange(1, 8).Draw(t, "batch size"))
			if len(changes) == 0 && delayed == nil {
				break
			}
			if round < 3 && rapid.Bool().Draw(t, "write delayed") {
				delayed = append(delayed, changes)
			} else if commit(changes) && rapid.Bool().Draw(t, "reply received") {
				publication.Confirm(changes, revision)
			} else {
				observeAll()
			}
		}
		readBack := map[MachineKind][]string{}
		for name, value := range stored {
			if len(value) > limit {
				t.Fatalf("page %s has %d bytes, more than the limit", name, len(value))
			}
			var p Page
			if err := json.Unmarshal(value, &p); err != nil {
				t.Fatal(err)
			}
			if (name == FirstPage) != (p.Heartbeat != nil) {
				t.Fatalf("page %s: got heartbeat %s, want one on the first page only", name, p.Heartbeat)
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
				readBack[g.MachineKind] = append(readBack[g.MachineKind], g.Machines...)
			}
		}
		if len(published) > 0 {
			t.Fatalf("%d entries are missing from the pages", len(published))
		}
		for k, ids := range machines {
			slices.Sort(ids)
			if slices.Sort(readBack[k]); !slices.Equal(ids, readBack[k]) {
				t.Fatalf("%+v: got %d machines, want %d", k, len(readBack[k]), len(ids))
			}
		}
		publication.Confirm(publication.Diff(nil, 1<<20), revision+1)
		if !publication.Empty() {
			t.Fatal("pages remain stored after all were deleted")
		}
	})
}

// entryList returns the entries in a set.
func entryList(m map[Entry]bool) []Entry {
	var out []Entry
	for entry := range m {
		out = append(out, entry)
	}
	return out
}

// TestMalformedEntriesAreErrors checks that every kind of malformed entry is reported with its job.
func TestMalformedEntriesAreErrors(t *testing.T) {
	for _, s := range []string{"", "1 2 vm", "x 2 vm done", "1 -2 vm done", "1 2 vm done more"} {
		_, err := (&Page{Jobs: []JobEntries{{"req-1", []string{s}}}}).Entries()
		var malformed *MalformedEntryError
		if !errors.As(err, &malformed) || malformed.Job != "req-1" || malformed.Entry != s {
			t.Errorf("%q: got error %v", s, err)
		}
	}
}

// TestFrequentlyChangingPagesDoNotStarveOthers checks that every page is eventually written. A
// transaction holds few pages, so those that change every time, such as the page with the heartbeat,
// could always be written in place of the rest.
func TestFrequentlyChangingPagesDoNotStarveOthers(t *testing.T) {
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
			t.Fatalf("round %d: first change is page %s, want the heartbeat", round, changes[0].Page)
		}
		for _, c := range changes {
			stored[c.Page] = true
		}
		publication.Confirm(changes, uint64(round+1))
		if len(stored) == len(want) {
			return
		}
	}
	t.Errorf("only pages %v were ever written", slices.Sorted(maps.Keys(stored)))
}
