package snapshot

import (
	"errors"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/segmentio/encoding/json"
	"pgregory.net/rapid"

	"pepperlever/internal/emulator"
	"pepperlever/internal/protocol"
	"pepperlever/internal/testseed"
)

func TestMain(m *testing.M) { os.Exit(testseed.Run(m, nil)) }

const prefix = "j/"

// write applies a transaction that puts and deletes a few keys inside and outside the prefix.
func write(t *rapid.T, kv *emulator.KeyValueStore) {
	key := rapid.StringMatching(`(j|u)/[a-h]`)
	var txn protocol.Txn
	for _, name := range rapid.SliceOfNDistinct(key, 1, 4, rapid.ID).Draw(t, "keys") {
		change := protocol.Change{Put: name, Value: json.RawMessage(`{}`)}
		if rapid.Bool().Draw(t, "delete") {
			change = protocol.Change{Delete: name}
		}
		txn.Then = append(txn.Then, change)
	}
	kv.Apply(txn)
}

// stateAt returns the keys below the prefix, with their versions, as of a revision.
func stateAt(kv *emulator.KeyValueStore, revision uint64) []protocol.KeyValue {
	var items []protocol.KeyValue
	changes, _ := kv.Changes(prefix, 0)
	for _, event := range changes.Events {
		if event.Version > revision {
			break
		}
		key := event.Put + event.Delete
		items = slices.DeleteFunc(items, func(item protocol.KeyValue) bool { return item.Key == key })
		if event.Put != "" {
			items = append(items, protocol.KeyValue{Key: event.Put, Value: event.Value, Version: event.Version})
		}
	}
	slices.SortFunc(items, func(a, b protocol.KeyValue) int { return strings.Compare(a.Key, b.Key) })
	return items
}

// Guards against a state that joins pages of different revisions, whatever is written between them.
func TestStateIsThatOfOneRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kv := emulator.NewKeyValueStore()
		writeSome := func() {
			for range rapid.IntRange(0, 3).Draw(t, "writes") {
				write(t, kv)
			}
		}
		for range 5 {
			writeSome()
		}
		var state Assembler
		for !state.HasAllPages() {
			limit := rapid.IntRange(1, 4).Draw(t, "limit")
			if err := state.AddPage(kv.List(prefix, state.LastKey(), limit)); err != nil {
				t.Fatal(err)
			}
			writeSome()
		}
		for !state.IsConsistent() {
			changes, _ := kv.Changes(prefix, state.Revision())
			state.AddChanges(changes)
			writeSome()
		}
		want, got := stateAt(kv, state.Revision()), state.Items()
		if !slices.EqualFunc(want, got, func(a, b protocol.KeyValue) bool { return a.Key == b.Key && a.Version == b.Version }) {
			t.Errorf("state at revision %d (-want +got):\n%s", state.Revision(), cmp.Diff(want, got))
		}
	})
}

// Guards against a list that counts as complete though pages are missing, so that their keys would count as
// deleted; and against reading the same page for ever.
func TestListThatBreaksOffIsNotComplete(t *testing.T) {
	first := protocol.KeyList{Items: []protocol.KeyValue{{Key: "j/a"}, {Key: "j/b"}}, More: true}
	for name, page := range map[string]protocol.KeyList{
		"no keys, but more to come":  {More: true},
		"the same page again":        first,
		"a page before the last key": {Items: []protocol.KeyValue{{Key: "j/a"}}, More: true},
	} {
		var state Assembler
		if err := state.AddPage(first); err != nil {
			t.Fatal(err)
		}
		if err := state.AddPage(page); !errors.Is(err, ErrListBrokenOff) || state.HasAllPages() {
			t.Errorf("%s: got error %v and complete %v, want ErrListBrokenOff and false", name, err, state.HasAllPages())
		}
	}
}
