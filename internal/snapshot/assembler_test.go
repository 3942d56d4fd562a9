package snapshot

import (
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
			state.AddPage(kv.List(prefix, state.LastKey(), limit))
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
