// Package snapshot assembles the state of the key-value store as of one revision. The store lists its
// keys in pages, and each page shows the revision at which it was read. The changes between the first
// and the last page are therefore applied to all pages.
package snapshot

import (
	"errors"
	"maps"
	"slices"

	"pepperlever/internal/protocol"
)

// ErrListBrokenOff means that a page announces further ones but does not lead to them, since it has no
// key after the previous page.
var ErrListBrokenOff = errors.New("list breaks off before its last page")

// Assembler joins the pages of a list, and the changes made while they were read. The zero value is
// ready for use.
type Assembler struct {
	items map[string]protocol.KeyValue
	pages int
	// lastKey is the last key of the newest page.
	lastKey  string
	complete bool
	// oldestPage and newestPage are the lowest and the highest revision of a page.
	oldestPage, newestPage uint64
	// changesUntil is the revision up to which changes have been applied, or 0 if none have been.
	changesUntil uint64
}

// AddPage adds the page that begins after LastKey. It fails with ErrListBrokenOff if the list cannot be
// continued: keys that are missing from it would count as deleted.
func (a *Assembler) AddPage(page protocol.KeyList) error {
	if a.pages == 0 {
		a.items = map[string]protocol.KeyValue{}
		a.oldestPage = page.Revision
	}
	a.pages++
	a.oldestPage = min(a.oldestPage, page.Revision)
	a.newestPage = max(a.newestPage, page.Revision)
	previousKey := a.lastKey
	for _, item := range page.Items {
		a.items[item.Key] = item
		a.lastKey = item.Key
	}
	if page.More && a.lastKey <= previousKey {
		return ErrListBrokenOff
	}
	a.complete = !page.More
	return nil
}

// AddChanges applies the changes after Revision to the pages. All of them are applied, including those
// that a page shows already, so that each key ends in the state of its last change.
func (a *Assembler) AddChanges(changes protocol.Changes) {
	for _, event := range changes.Events {
		if event.Delete != "" {
			delete(a.items, event.Delete)
			continue
		}
		a.items[event.Put] = protocol.KeyValue{Key: event.Put, Value: event.Value, Version: event.Version}
	}
	a.changesUntil = max(a.changesUntil, changes.Revision)
}

// Pages returns the number of pages.
func (a *Assembler) Pages() int { return a.pages }

// LastKey returns the key after which the next page begins. It is empty before the first page.
func (a *Assembler) LastKey() string { return a.lastKey }

// HasAllPages reports whether the last page has been added.
func (a *Assembler) HasAllPages() bool { return a.complete }

// Revision returns the revision after which changes are missing, if there are any.
func (a *Assembler) Revision() uint64 { return max(a.oldestPage, a.changesUntil) }

// NewestPage returns the highest revision at which a page was read.
func (a *Assembler) NewestPage() uint64 { return a.newestPage }

// IsConsistent reports whether the items are the stored state as of Revision: no page is missing, and no
// page shows a later revision.
func (a *Assembler) IsConsistent() bool { return a.complete && a.Revision() >= a.newestPage }

// Items returns the items in the order of their keys.
func (a *Assembler) Items() []protocol.KeyValue {
	items := make([]protocol.KeyValue, 0, len(a.items))
	for _, key := range slices.Sorted(maps.Keys(a.items)) {
		items = append(items, a.items[key])
	}
	return items
}
