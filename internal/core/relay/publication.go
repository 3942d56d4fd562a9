package relay

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/segmentio/encoding/json"
)

// Publication follows which pages of this controller the store holds, and at which versions.
// Each page is written on the condition that it is as it was seen, so that a write which
// is carried out late, after newer ones, has no effect.
type Publication struct {
	stored map[string]storedPage
	// lastWritten is the page that was written last, apart from the first page.
	lastWritten string
}

// storedPage is a page as the store holds it; without a value it is not there.
type storedPage struct {
	value   json.RawMessage
	version uint64
}

// Change is a page to be written, or deleted where Value is nil, while the store holds it
// at Version, 0 if not at all.
type Change struct {
	Page    string
	Value   json.RawMessage
	Version uint64
}

// Empty tells whether nothing is stored.
func (p *Publication) Empty() bool { return len(p.StoredPages()) == 0 }

// StoredPages names the pages that are stored, in order.
func (p *Publication) StoredPages() (names []string) {
	for _, name := range slices.Sorted(maps.Keys(p.stored)) {
		if p.stored[name].value != nil {
			names = append(names, name)
		}
	}
	return names
}

// Diff lists at most limit changes that bring the stored pages up to want: the first page,
// and then the others in rotation, since pages that change each time would keep the rest
// from being written.
func (p *Publication) Diff(want map[string]json.RawMessage, limit int) []Change {
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(want)) {
		if !bytes.Equal(want[name], p.stored[name].value) {
			changes = append(changes, Change{Page: name, Value: want[name], Version: p.version(name)})
		}
	}
	for _, name := range p.StoredPages() {
		if want[name] == nil {
			changes = append(changes, Change{Page: name, Version: p.version(name)})
		}
	}
	slices.SortStableFunc(changes, func(a, b Change) int {
		return cmp.Compare(p.priority(a.Page), p.priority(b.Page))
	})
	return changes[:min(len(changes), limit)]
}

// version is the one at which a page is stored, 0 if it is not.
func (p *Publication) version(page string) uint64 {
	if s := p.stored[page]; s.value != nil {
		return s.version
	}
	return 0
}

// priority orders pages for writing, lowest first: the first page, those after the one written
// last, and the rest.
func (p *Publication) priority(page string) int {
	switch {
	case page == FirstPage:
		return 0
	case page > p.lastWritten:
		return 1
	}
	return 2
}

// Confirm notes that changes have been written at a revision. A write whose reply was lost
// is found out by Observe.
func (p *Publication) Confirm(changes []Change, revision uint64) {
	for _, c := range changes {
		if c.Page != FirstPage {
			p.lastWritten = c.Page
		}
		p.Observe(c.Page, c.Value, revision)
	}
}

// Observe notes what the store holds of a page as of a revision, nil for nothing.
func (p *Publication) Observe(page string, value json.RawMessage, revision uint64) {
	if p.stored == nil {
		p.stored = map[string]storedPage{}
	}
	if revision > p.stored[page].version {
		p.stored[page] = storedPage{value, revision}
	}
}
