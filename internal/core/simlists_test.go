package core

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"pepperlever/internal/protocol"
	"pepperlever/internal/snapshot"
)

// pagedList is a list of all keys that a controller is reading page by page.
type pagedList struct {
	snapshot.Assembler
	// repeat is set if the controller has requested the stored state again since the list began.
	repeat bool
}

// beginList begins to read all stored keys for a controller. Without a page size the controller
// receives them at once, otherwise with the list's last page.
func (cluster *simCluster) beginList(node string) {
	cluster.lists[node] = &pagedList{}
	cluster.continueList(node)
}

// continueList reads the next page of a controller's list, unless the page is held back. After the last
// one it sends the controller a snapshot. A list that the store refuses begins again later.
func (cluster *simCluster) continueList(node string) {
	list := cluster.lists[node]
	switch {
	case list == nil:
		return
	case cluster.outage || cluster.withoutStore[node]:
		delete(cluster.lists, node)
		cluster.awaitingSnapshot[node] = true
		return
	case list.Pages() > 0 && cluster.holdNextPage != nil && cluster.holdNextPage(node):
		return
	}
	cluster.addPage(&list.Assembler)
	if !list.HasAllPages() {
		return
	}
	if !list.IsConsistent() {
		events := cluster.events[cluster.eventsUntil(list.Revision()):]
		list.AddChanges(protocol.Changes{Revision: cluster.revision, Events: slices.Clone(events)})
	}
	delete(cluster.lists, node)
	cluster.seen[node] = cluster.eventsUntil(list.Revision())
	cluster.send(node, SnapshotLoaded{Revision: list.Revision(), Items: list.Items()})
	if list.repeat {
		cluster.beginList(node)
	}
}

// addPage adds the next page of replicated keys to a list.
func (cluster *simCluster) addPage(list *snapshot.Assembler) {
	if err := list.AddPage(cluster.listKeys(list.LastKey())); err != nil {
		cluster.t.Fatal(err)
	}
}

// listKeys returns the page of replicated keys that begins after a key.
func (cluster *simCluster) listKeys(after string) protocol.KeyList {
	page := protocol.KeyList{Revision: cluster.revision}
	for _, key := range slices.Sorted(maps.Keys(cluster.kv)) {
		if !strings.HasPrefix(key, Root) || key <= after {
			continue
		}
		if cluster.listPageSize > 0 && len(page.Items) == cluster.listPageSize {
			page.More = true
			break
		}
		page.Items = append(page.Items, cluster.kv[key])
	}
	return page
}

// snapshot returns all replicated keys at the store's revision.
func (cluster *simCluster) snapshot() SnapshotLoaded {
	var list snapshot.Assembler
	for !list.HasAllPages() {
		cluster.addPage(&list)
	}
	return SnapshotLoaded{Revision: list.Revision(), Items: list.Items()}
}

// eventsUntil returns the number of events up to a revision.
func (cluster *simCluster) eventsUntil(revision uint64) uint64 {
	first, _ := slices.BinarySearchFunc(cluster.events, revision+1, func(e protocol.Event, after uint64) int { return cmp.Compare(e.Version, after) })
	return uint64(first)
}
