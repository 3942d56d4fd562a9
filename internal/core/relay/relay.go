// Package relay is what a controller publishes in the state service for those
// that cannot hear it: which machines report to it, and what has become of the
// tasks on them. It lays a bulletin out in pages and tells which of them have to
// be written; it has neither input nor output.
package relay

import (
	"bytes"
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/segmentio/encoding/json"
)

// MachineGroup names machines that have all but their names in common.
type MachineGroup struct {
	MachineKind
	Machines []string `json:"m"`
}

// MachineKind is what the machines of a Group have in common: what they are, under which
// fencing term and session they can be given starts, and when they are taken back,
// in seconds, 0 if nobody has said so.
type MachineKind struct {
	Type    string `json:"t"`
	Zone    string `json:"z"`
	Spot    bool   `json:"s,omitempty"`
	Token   uint64 `json:"k"`
	Epoch   uint64 `json:"e"`
	NoticeS int    `json:"n,omitempty"`
}

// Entry is what has become of one attempt of a task, for good.
type Entry struct {
	Job     string
	Index   int
	Attempt uint64
	Machine string
	// Reason the attempt has exited, or nothing: then it was not started, and never
	// will be.
	Reason string
}

// Page is one key's worth of a bulletin.
type Page struct {
	// Heartbeat is the controller's sign of life; only the first page has it.
	Heartbeat json.RawMessage `json:"b,omitempty"`
	Jobs      []JobEntries    `json:"f,omitempty"`
	Machines  []MachineGroup  `json:"m,omitempty"`
}

// JobEntries are the facts on one job, each in its short form. They are no map from
// strings to slices of strings: the JSON library corrupts memory where it reads one
// (docs/incidents/apart.md).
type JobEntries struct {
	Job     string   `json:"j"`
	Entries []string `json:"s"`
}

// String is the stored form of a fact within its job.
func (f Entry) String() string {
	return fmt.Sprintf("%d %d %s %s", f.Index, f.Attempt, f.Machine, f.Reason)
}

// Entries lists the facts of a page in order; what is malformed is an error.
func (p *Page) Entries() ([]Entry, error) {
	var out []Entry
	for _, of := range p.Jobs {
		id := of.Job
		for _, s := range of.Entries {
			part := strings.Split(s, " ")
			if len(part) != 4 {
				return nil, fmt.Errorf("fact %q of %s has %d parts", s, id, len(part))
			}
			index, err := strconv.Atoi(part[0])
			if err != nil {
				return nil, fmt.Errorf("fact %q of %s: %w", s, id, err)
			}
			attempt, err := strconv.ParseUint(part[1], 10, 64)
			if err != nil {
				return nil, fmt.Errorf("fact %q of %s: %w", s, id, err)
			}
			out = append(out, Entry{id, index, attempt, part[2], part[3]})
		}
	}
	return out, nil
}

// FirstPage names the page with the sign of life.
const FirstPage = "f0"

// Pages lays a bulletin out in named pages of about limit bytes at most: facts, the
// sign of life on the first of them, and apart from those the machines, whose pages
// seldom change.
func Pages(beat json.RawMessage, facts []Entry, machines map[MachineKind][]string, limit int) map[string]json.RawMessage {
	facts = slices.SortedFunc(slices.Values(facts), func(a, b Entry) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	pages := []*Page{{Heartbeat: beat}}
	size := len(beat) + overhead
	for _, f := range facts {
		page, s := pages[len(pages)-1], f.String()
		n, first := len(s)+3, len(page.Jobs) == 0 || page.Jobs[len(page.Jobs)-1].Job != f.Job
		if first {
			n += len(f.Job) + overhead
		}
		if size+n > limit {
			page, size, first = &Page{}, overhead, true
			pages = append(pages, page)
			n = len(s) + 3 + len(f.Job) + overhead
		}
		if first {
			page.Jobs = append(page.Jobs, JobEntries{Job: f.Job})
		}
		of := &page.Jobs[len(page.Jobs)-1]
		of.Entries = append(of.Entries, s)
		size += n
	}
	out := map[string]json.RawMessage{}
	for n, p := range pages {
		out[fmt.Sprint("f", n)] = marshalPage(p)
	}
	for n, p := range machinePages(machines, limit) {
		out[fmt.Sprint("m", n)] = marshalPage(p)
	}
	return out
}

// overhead is at most about what a page or a part of one takes beside its contents.
const overhead = 32

func machinePages(machines map[MachineKind][]string, limit int) []*Page {
	var pages []*Page
	size := limit
	kinds := slices.SortedFunc(maps.Keys(machines), func(a, b MachineKind) int {
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Token, b.Token),
			cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.NoticeS, b.NoticeS), strings.Compare(fmt.Sprint(a.Spot), fmt.Sprint(b.Spot)))
	})
	for _, k := range kinds {
		fresh := true
		for _, id := range machines[k] {
			n := len(id) + 3
			if fresh {
				n += len(k.Type) + len(k.Zone) + 3*overhead
			}
			if size+n > limit {
				pages, size, fresh = append(pages, &Page{}), overhead, true
				n = len(id) + 3 + len(k.Type) + len(k.Zone) + 3*overhead
			}
			p := pages[len(pages)-1]
			if fresh {
				p.Machines = append(p.Machines, MachineGroup{MachineKind: k})
				fresh = false
			}
			g := &p.Machines[len(p.Machines)-1]
			g.Machines = append(g.Machines, id)
			size += n
		}
	}
	return pages
}

func marshalPage(p *Page) json.RawMessage {
	out, err := json.Marshal(p)
	if err != nil {
		panic(err) // plain data always has a JSON form
	}
	return out
}

// Publication follows which pages of this controller's bulletin the store holds, and at which
// versions: each is written on the condition that it is as it was seen, so that a write
// which is carried out late, after newer ones, is void.
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

// Empty tells whether nothing is stored.
func (b *Publication) Empty() bool { return len(b.StoredPages()) == 0 }

// StoredPages names the pages that are stored.
func (b *Publication) StoredPages() (out []string) {
	for _, name := range slices.Sorted(maps.Keys(b.stored)) {
		if b.stored[name].value != nil {
			out = append(out, name)
		}
	}
	return out
}

// Change is a page to be written, or deleted where Value is nil, while the store holds it
// at Version, 0 if not at all.
type Change struct {
	Page    string
	Value   json.RawMessage
	Version uint64
}

// Diff lists at most limit changes that bring the stored pages up to want: the first
// page, and then the others in turn, or pages that change each time would keep the rest
// from ever being written.
func (b *Publication) Diff(want map[string]json.RawMessage, limit int) []Change {
	var out []Change
	for _, name := range slices.Sorted(maps.Keys(want)) {
		if !bytes.Equal(want[name], b.stored[name].value) {
			out = append(out, Change{name, want[name], b.version(name)})
		}
	}
	for _, name := range b.StoredPages() {
		if want[name] == nil {
			out = append(out, Change{Page: name, Version: b.version(name)})
		}
	}
	slices.SortStableFunc(out, func(a, c Change) int { return cmp.Compare(b.writeOrder(a.Page), b.writeOrder(c.Page)) })
	return out[:min(len(out), limit)]
}

// version is the one at which a page is stored, 0 if it is not.
func (b *Publication) version(page string) uint64 {
	if s := b.stored[page]; s.value != nil {
		return s.version
	}
	return 0
}

// writeOrder orders pages: the first page, those after the one written last, and the rest.
func (b *Publication) writeOrder(page string) int {
	switch {
	case page == FirstPage:
		return 0
	case page > b.lastWritten:
		return 1
	}
	return 2
}

// Confirm notes that changes have been written at a revision. One whose answer did not come
// is found out by what the store shows.
func (b *Publication) Confirm(changes []Change, revision uint64) {
	for _, c := range changes {
		if c.Page != FirstPage {
			b.lastWritten = c.Page
		}
		b.Observe(c.Page, c.Value, revision)
	}
}

// Observe notes what the store holds of a page as of a revision, nil for nothing.
func (b *Publication) Observe(page string, value json.RawMessage, revision uint64) {
	if b.stored == nil {
		b.stored = map[string]storedPage{}
	}
	if revision > b.stored[page].version {
		b.stored[page] = storedPage{value, revision}
	}
}
