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

// Group names machines that have all but their names in common.
type Group struct {
	Kind
	Machines []string `json:"m"`
}

// Kind is what the machines of a Group have in common: what they are, under which
// fencing term and session they can be given starts, and when they are taken back,
// in seconds, 0 if nobody has said so.
type Kind struct {
	Type    string `json:"t"`
	Zone    string `json:"z"`
	Spot    bool   `json:"s,omitempty"`
	Term    uint64 `json:"k"`
	Session uint64 `json:"e"`
	NoticeS int    `json:"n,omitempty"`
}

// Fact is what has become of one attempt of a task, for good.
type Fact struct {
	Job     string
	Index   int
	Attempt uint64
	Machine string
	// Why the attempt has exited, or nothing: then it was not started, and never
	// will be.
	Why string
}

// Page is one key's worth of a bulletin.
type Page struct {
	// Beat is the controller's sign of life; only the first page has it.
	Beat     json.RawMessage `json:"b,omitempty"`
	Facts    []JobFacts      `json:"f,omitempty"`
	Machines []Group         `json:"m,omitempty"`
}

// JobFacts are the facts on one job, each in its short form. They are no map from
// strings to slices of strings: the JSON library corrupts memory where it reads one
// (docs/incidents/apart.md).
type JobFacts struct {
	Job  string   `json:"j"`
	Said []string `json:"s"`
}

// String is the stored form of a fact within its job.
func (f Fact) String() string {
	return fmt.Sprintf("%d %d %s %s", f.Index, f.Attempt, f.Machine, f.Why)
}

// All lists the facts of a page in order; what is malformed is an error.
func (p *Page) All() ([]Fact, error) {
	var out []Fact
	for _, of := range p.Facts {
		id := of.Job
		for _, s := range of.Said {
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
			out = append(out, Fact{id, index, attempt, part[2], part[3]})
		}
	}
	return out, nil
}

// FirstPage names the page with the sign of life.
const FirstPage = "f0"

// Pages lays a bulletin out in named pages of about limit bytes at most: facts, the
// sign of life on the first of them, and apart from those the machines, whose pages
// seldom change.
func Pages(beat json.RawMessage, facts []Fact, machines map[Kind][]string, limit int) map[string]json.RawMessage {
	facts = slices.SortedFunc(slices.Values(facts), func(a, b Fact) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
	})
	pages := []*Page{{Beat: beat}}
	size := len(beat) + overhead
	for _, f := range facts {
		page, s := pages[len(pages)-1], f.String()
		n, first := len(s)+3, len(page.Facts) == 0 || page.Facts[len(page.Facts)-1].Job != f.Job
		if first {
			n += len(f.Job) + overhead
		}
		if size+n > limit {
			page, size, first = &Page{}, overhead, true
			pages = append(pages, page)
			n = len(s) + 3 + len(f.Job) + overhead
		}
		if first {
			page.Facts = append(page.Facts, JobFacts{Job: f.Job})
		}
		of := &page.Facts[len(page.Facts)-1]
		of.Said = append(of.Said, s)
		size += n
	}
	out := map[string]json.RawMessage{}
	for n, p := range pages {
		out[fmt.Sprint("f", n)] = raw(p)
	}
	for n, p := range machinePages(machines, limit) {
		out[fmt.Sprint("m", n)] = raw(p)
	}
	return out
}

// overhead is at most about what a page or a part of one takes beside its contents.
const overhead = 32

func machinePages(machines map[Kind][]string, limit int) []*Page {
	var pages []*Page
	size := limit
	kinds := slices.SortedFunc(maps.Keys(machines), func(a, b Kind) int {
		return cmp.Or(cmp.Compare(a.Type, b.Type), cmp.Compare(a.Zone, b.Zone), cmp.Compare(a.Term, b.Term),
			cmp.Compare(a.Session, b.Session), cmp.Compare(a.NoticeS, b.NoticeS), strings.Compare(fmt.Sprint(a.Spot), fmt.Sprint(b.Spot)))
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
				p.Machines = append(p.Machines, Group{Kind: k})
				fresh = false
			}
			g := &p.Machines[len(p.Machines)-1]
			g.Machines = append(g.Machines, id)
			size += n
		}
	}
	return pages
}

func raw(p *Page) json.RawMessage {
	out, err := json.Marshal(p)
	if err != nil {
		panic(err) // plain data always has a JSON form
	}
	return out
}

// Board follows which pages of this controller's bulletin the store holds, and at which
// versions: each is written on the condition that it is as it was seen, so that a write
// which is carried out late, after newer ones, is void.
type Board struct {
	stored map[string]stored
	// last is the page that was written last, apart from the first page.
	last string
}

// stored is a page as the store holds it; without a value it is not there.
type stored struct {
	value   json.RawMessage
	version uint64
}

// Empty tells whether nothing is stored.
func (b *Board) Empty() bool { return len(b.Pages()) == 0 }

// Pages names the pages that are stored.
func (b *Board) Pages() (out []string) {
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
func (b *Board) Diff(want map[string]json.RawMessage, limit int) []Change {
	var out []Change
	for _, name := range slices.Sorted(maps.Keys(want)) {
		if !bytes.Equal(want[name], b.stored[name].value) {
			out = append(out, Change{name, want[name], b.version(name)})
		}
	}
	for _, name := range b.Pages() {
		if want[name] == nil {
			out = append(out, Change{Page: name, Version: b.version(name)})
		}
	}
	slices.SortStableFunc(out, func(a, c Change) int { return cmp.Compare(b.turn(a.Page), b.turn(c.Page)) })
	return out[:min(len(out), limit)]
}

// version is the one at which a page is stored, 0 if it is not.
func (b *Board) version(page string) uint64 {
	if s := b.stored[page]; s.value != nil {
		return s.version
	}
	return 0
}

// turn orders pages: the first page, those after the one written last, and the rest.
func (b *Board) turn(page string) int {
	switch {
	case page == FirstPage:
		return 0
	case page > b.last:
		return 1
	}
	return 2
}

// Wrote notes that changes have been written at a revision. One whose answer did not come
// is found out by what the store shows.
func (b *Board) Wrote(changes []Change, revision uint64) {
	for _, c := range changes {
		if c.Page != FirstPage {
			b.last = c.Page
		}
		b.Saw(c.Page, c.Value, revision)
	}
}

// Saw notes what the store holds of a page as of a revision, nil for nothing.
func (b *Board) Saw(page string, value json.RawMessage, revision uint64) {
	if b.stored == nil {
		b.stored = map[string]stored{}
	}
	if revision > b.stored[page].version {
		b.stored[page] = stored{value, revision}
	}
}
