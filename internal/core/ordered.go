package core

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// ordered iterates over a map in key order, so that the same commands always produce the same
// effects. Entries that are removed during the iteration are skipped.
func ordered[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return iterate(m, func() []K { return slices.Sorted(maps.Keys(m)) })
}

// orderedBy is like ordered, for keys that need a comparison function.
func orderedBy[K comparable, V any](m map[K]V, compare func(a, b K) int) iter.Seq2[K, V] {
	return iterate(m, func() []K { return slices.SortedFunc(maps.Keys(m), compare) })
}

// iterate yields the entries of a map in the order of keys, without those that have been removed.
func iterate[K comparable, V any](m map[K]V, keys func() []K) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range keys() {
			if v, found := m[k]; found && !yield(k, v) {
				return
			}
		}
	}
}
