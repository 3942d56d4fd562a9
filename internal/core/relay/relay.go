// Package relay encodes what a controller publishes in the store for controllers that do not
// receive its messages: its heartbeat, the machines that report to it, and the outcomes of tasks on
// them. It divides this data into pages of limited size, each under a key of its own, and computes
// which pages have to be written. It does no I/O.
package relay

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/mustjson"
)

// Page is the value stored under one key.
type Page struct {
	// Heartbeat is the controller's heartbeat; only the first page has one.
	Heartbeat json.RawMessage `json:"b,omitempty"`
	Jobs      []JobEntries    `json:"f,omitempty"`
	Machines  []MachineGroup  `json:"m,omitempty"`
}

// MachineGroup lists the IDs of machines of one kind.
type MachineGroup struct {
	MachineKind
	Machines []string `json:"m"`
}

// MachineKind holds what the machines of a group have in common: their type and zone, the fencing
// token and the worker epoch that start commands to them have to carry, and the number of seconds
// until they are reclaimed, 0 without a reclaim notice.
type MachineKind struct {
	Type    string `json:"t"`
	Zone    string `json:"z"`
	Spot    bool   `json:"s,omitempty"`
	Token   uint64 `json:"k"`
	Epoch   uint64 `json:"e"`
	NoticeS int    `json:"n,omitempty"`
}

// FirstPage is the name of the page with the heartbeat.
const FirstPage = "f0"

const (
	// objectOverheadBytes is an upper bound on the encoding overhead of a page or an object in it.
	objectOverheadBytes = 32
	// stringOverheadBytes is the encoding overhead of an element in a list of strings.
	stringOverheadBytes = 3
)

// Entries returns the parsed entries of a page, in order. If any entry is malformed, it returns
// only a *MalformedEntryError.
func (p *Page) Entries() ([]Entry, error) {
	var out []Entry
	for _, jobEntries := range p.Jobs {
		for _, stored := range jobEntries.Entries {
			e, err := parseEntry(jobEntries.Job, stored)
			if err != nil {
				return nil, err
			}
			out = append(out, e)
		}
	}
	return out, nil
}

// Pages returns the encoded pages by name, each of at most about limit bytes. The heartbeat is on
// the first of the pages with entries. Machines are on pages of their own, which seldom change.
func Pages(heartbeat json.RawMessage, entries []Entry, machines map[MachineKind][]string, limit int) map[string]json.RawMessage {
	out := map[string]json.RawMessage{}
	for n, p := range entryPages(heartbeat, entries, limit) {
		out[fmt.Sprint("f", n)] = mustjson.Marshal(p)
	}
	for n, p := range machinePages(machines, limit) {
		out[fmt.Sprint("m", n)] = mustjson.Marshal(p)
	}
	return out
}

// pageBuilder fills pages one after another.
type pageBuilder struct {
	limit int
	pages []*Page
	// size is the estimated size of the last page in bytes.
	size int
}

// startPage appends a page of the given initial size.
func (b *pageBuilder) startPage(p *Page, size int) {
	b.pages = append(b.pages, p)
	b.size = size
}

// last returns the page that is being filled, or nil if there is none.
func (b *pageBuilder) last() *Page {
	if len(b.pages) == 0 {
		return nil
	}
	return b.pages[len(b.pages)-1]
}

// fits reports whether the given number of bytes fits on the last page.
func (b *pageBuilder) fits(bytes int) bool { return len(b.pages) > 0 && b.size+bytes <= b.limit }

// entryPages returns the pages with the entries, sorted by job and task index. The first page has
// the heartbeat.
func entryPages(heartbeat json.RawMessage, entries []Entry, limit int) []*Page {
	entries = slices.SortedFunc(slices.Values(entries), compareEntries)
	b := pageBuilder{limit: limit}
	b.startPage(&Page{Heartbeat: heartbeat}, len(heartbeat)+objectOverheadBytes)
	for _, e := range entries {
		stored := e.String()
		entryBytes := len(stored) + stringOverheadBytes
		jobBytes := len(e.Job) + objectOverheadBytes
		newJob := !b.last().endsWithJob(e.Job)
		bytes := entryBytes
		if newJob {
			bytes += jobBytes
		}
		if !b.fits(bytes) {
			b.startPage(&Page{}, objectOverheadBytes)
			newJob, bytes = true, entryBytes+jobBytes
		}
		b.last().addEntry(e.Job, stored, newJob)
		b.size += bytes
	}
	return b.pages
}

// compareEntries orders entries by job and task index.
func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}

// endsWithJob reports whether the last entries on the page belong to a job.
func (p *Page) endsWithJob(job string) bool {
	return len(p.Jobs) > 0 && p.Jobs[len(p.Jobs)-1].Job == job
}

// addEntry appends a stored entry, under a new list if it is the job's first entry on the page.
func (p *Page) addEntry(job, stored string, newJob bool) {
	if newJob {
		p.Jobs = append(p.Jobs, JobEntries{Job: job})
	}
	last := &p.Jobs[len(p.Jobs)-1]
	last.Entries = append(last.Entries, stored)
}

// machinePages returns the pages with the machines, grouped by kind.
func machinePages(machines map[MachineKind][]string, limit int) []*Page {
	b := pageBuilder{limit: limit}
	for _, kind := range slices.SortedFunc(maps.Keys(machines), compareKinds) {
		kindBytes := len(kind.Type) + len(kind.Zone) + 3*objectOverheadBytes
		newGroup := true
		for _, id := range machines[kind] {
			idBytes := len(id) + stringOverheadBytes
			bytes := idBytes
			if newGroup {
				bytes += kindBytes
			}
			if !b.fits(bytes) {
				b.startPage(&Page{}, objectOverheadBytes)
				newGroup, bytes = true, idBytes+kindBytes
			}
			b.last().addMachine(kind, id, newGroup)
			newGroup = false
			b.size += bytes
		}
	}
	return b.pages
}

// compareKinds defines a total order of machine kinds, so that pages are deterministic.
func compareKinds(a, b MachineKind) int {
	return cmp.Or(
		cmp.Compare(a.Type, b.Type),
		cmp.Compare(a.Zone, b.Zone),
		cmp.Compare(a.Token, b.Token),
		cmp.Compare(a.Epoch, b.Epoch),
		cmp.Compare(a.NoticeS, b.NoticeS),
		compareBools(a.Spot, b.Spot),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// addMachine appends a machine, under a new group if it is the first of its kind on the page.
func (p *Page) addMachine(kind MachineKind, id string, newGroup bool) {
	if newGroup {
		p.Machines = append(p.Machines, MachineGroup{MachineKind: kind})
	}
	last := &p.Machines[len(p.Machines)-1]
	last.Machines = append(last.Machines, id)
}
