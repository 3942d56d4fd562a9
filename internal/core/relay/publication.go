package relay

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/segmentio/encoding/json"
)

// Publication tracks which of this controller's pages are in the store, and at which versions.
// Pages are written by compare-and-swap on the last observed version, so that a delayed write has
// no effect after a newer one.
type Publication struct {
	stored map[string]storedPage
	// lastWritten is the name of the page written last, other than the first page.
	lastWritten string
}

// storedPage is the state of a page in the store. Its value is nil if the page does not exist.
type storedPage struct {
	value   json.RawMessage
	version uint64
}

// Change is a write of a page, or its deletion if Value is nil. It applies only if the store holds
// the page at Version, where 0 stands for a page that does not exist.
type Change struct {
	Page    string
	Value   json.RawMessage
	Version uint64
}

// Empty reports whether no pages are stored.
func (p *Publication) Empty() bool { return len(p.StoredPages()) == 0 }

// StoredPages returns the sorted names of the stored pages.
func (p *Publication) StoredPages() (names []string) {
	for _, name := range slices.Sorted(maps.Keys(p.stored)) {
		if p.stored[name].value != nil {
			names = append(names, name)
		}
	}
	return names
}

// Diff returns at most limit changes that bring the stored pages closer to the desired ones. The
// first page comes first. The others follow in rotation, since pages that change every time would
// otherwise keep the rest from being written.
func (p *Publication) Diff(desired map[string]json.RawMessage, limit int) []Change {
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(desired)) {
		if !bytes.Equal(desired[name], p.stored[name].value) {
			changes = append(changes, Change{Page: name, Value: desired[name], Version: p.version(name)})
		}
	}
	for _, name := range p.StoredPages() {
		if desired[name] == nil {
			changes = append(changes, Change{Page: name, Version: p.version(name)})
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Compare(p.priority(a.Page), p.priority(b.Page))
	})
	return changes[:min(len(changes), limit)]
}

// version returns the version of a stored page, or 0 if the page is not stored.
func (p *Publication) version(page string) uint64 {
	if s := p.stored[page]; s.value != nil {
		return s.version
	}
	return 0
}

// priority returns the rank of a page in the order of writes, lowest first: the first page, then the
// pages after the one written last, then the rest.
func (p *Publication) priority(page string) int {
	switch {
	case page == FirstPage:
		return 0
	case page > p.lastWritten:
		return 1
	}
	return 2
}

// Confirm records that changes were written at a revision. Writes whose reply was lost are recorded
// by Observe instead.
func (p *Publication) Confirm(changes []Change, revision uint64) {
	for _, c := range changes {
		if c.Page != FirstPage {
			p.lastWritten = c.Page
		}
		p.Observe(c.Page, c.Value, revision)
	}
}

// Observe records the value of a page in the store at a revision, or nil if the page does not exist.
// It ignores revisions that are not newer than the last one recorded for the page.
func (p *Publication) Observe(page string, value json.RawMessage, revision uint64) {
	if p.stored == nil {
		p.stored = map[string]storedPage{}
	}
	if revision > p.stored[page].version {
		p.stored[page] = storedPage{value, revision}
	}
}
