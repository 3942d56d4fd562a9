package core

import (
	"cmp"
	"iter"
	"maps"
	"slices"
)

// ordered visits what a map holds by key, so that the same commands always give the
// same effects. What is removed on the way is left out.
func ordered[K cmp.Ordered, V any](m map[K]V) iter.Seq2[K, V] {
	return visit(m, func() []K { return slices.Sorted(maps.Keys(m)) })
}

// orderedBy is the same for keys that have no order of their own.
func orderedBy[K comparable, V any](m map[K]V, compare func(a, b K) int) iter.Seq2[K, V] {
	return visit(m, func() []K { return slices.SortedFunc(maps.Keys(m), compare) })
}

func visit[K comparable, V any](m map[K]V, keys func() []K) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		for _, k := range keys() {
			if v, there := m[k]; there && !yield(k, v) {
				return
			}
		}
	}
}
