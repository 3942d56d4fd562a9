// Package relay lays out what a controller publishes in the store for controllers that get
// no messages from it: its heartbeat, the machines that report to it, and the outcome of
// the tasks on them. It divides that into pages of limited size, one for each key, and
// tells which of them have to be written. It does neither input nor output.
package relay

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/mustjson"
)

// Page is the value of one key.
type Page struct {
	// Heartbeat is the controller's heartbeat, on the first page alone.
	Heartbeat json.RawMessage `json:"b,omitempty"`
	Jobs      []JobEntries    `json:"f,omitempty"`
	Machines  []MachineGroup  `json:"m,omitempty"`
}

// MachineGroup names machines of one kind.
type MachineGroup struct {
	MachineKind
	Machines []string `json:"m"`
}

// MachineKind is what the machines of a group have in common: their type, the fencing token
// and the agent epoch under which they can be given starts, and in how many seconds they
// are reclaimed, 0 without a notice.
type MachineKind struct {
	Type    string `json:"t"`
	Zone    string `json:"z"`
	Spot    bool   `json:"s,omitempty"`
	Token   uint64 `json:"k"`
	Epoch   uint64 `json:"e"`
	NoticeS int    `json:"n,omitempty"`
}

// FirstPage names the page with the heartbeat.
const FirstPage = "f0"

const (
	// overhead bounds the bytes that a page or a part of one takes beside its contents.
	overhead = 32
	// stringOverhead is the bytes that an element of a list of strings takes beside its text.
	stringOverhead = 3
)

// Entries parses the entries of a page in order. If one is malformed it returns none of them
// and a MalformedEntryError.
func (p *Page) Entries() ([]Entry, error) {
	var out []Entry
	for _, of := range p.Jobs {
		for _, stored := range of.Entries {
			e, err := parseEntry(of.Job, stored)
			if err != nil {
				return nil, err
			}
			out = append(out, e)
		}
	}
	return out, nil
}

// Pages lays everything out in named pages of about limit bytes at most: the entries, with the
// heartbeat on the first page, and apart from these the machines, whose pages seldom change.
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

// pageBuilder fills pages one after the other.
type pageBuilder struct {
	limit int
	pages []*Page
	// size estimates the bytes of the last page.
	size int
}

// add begins a page.
func (b *pageBuilder) add(p *Page, size int) {
	b.pages = append(b.pages, p)
	b.size = size
}

// last returns the page that is being filled, nil if there is none.
func (b *pageBuilder) last() *Page {
	if len(b.pages) == 0 {
		return nil
	}
	return b.pages[len(b.pages)-1]
}

// fits tells whether the last page has room for that many bytes.
func (b *pageBuilder) fits(bytes int) bool { return len(b.pages) > 0 && b.size+bytes <= b.limit }

func entryPages(heartbeat json.RawMessage, entries []Entry, limit int) []*Page {
	entries = slices.SortedFunc(slices.Values(entries), compareEntries)
	b := pageBuilder{limit: limit}
	b.add(&Page{Heartbeat: heartbeat}, len(heartbeat)+overhead)
	for _, e := range entries {
		stored := e.String()
		entryBytes := len(stored) + stringOverhead
		jobBytes := len(e.Job) + overhead
		newJob := !b.last().endsWithJob(e.Job)
		bytes := entryBytes
		if newJob {
			bytes += jobBytes
		}
		if !b.fits(bytes) {
			b.add(&Page{}, overhead)
			newJob, bytes = true, entryBytes+jobBytes
		}
		b.last().addEntry(e.Job, stored, newJob)
		b.size += bytes
	}
	return b.pages
}

func compareEntries(a, b Entry) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}

// endsWithJob tells whether the last entries of a page are those of a job.
func (p *Page) endsWithJob(job string) bool {
	return len(p.Jobs) > 0 && p.Jobs[len(p.Jobs)-1].Job == job
}

func (p *Page) addEntry(job, stored string, newJob bool) {
	if newJob {
		p.Jobs = append(p.Jobs, JobEntries{Job: job})
	}
	last := &p.Jobs[len(p.Jobs)-1]
	last.Entries = append(last.Entries, stored)
}

func machinePages(machines map[MachineKind][]string, limit int) []*Page {
	b := pageBuilder{limit: limit}
	for _, kind := range slices.SortedFunc(maps.Keys(machines), compareKinds) {
		kindBytes := len(kind.Type) + len(kind.Zone) + 3*overhead
		newGroup := true
		for _, id := range machines[kind] {
			idBytes := len(id) + stringOverhead
			bytes := idBytes
			if newGroup {
				bytes += kindBytes
			}
			if !b.fits(bytes) {
				b.add(&Page{}, overhead)
				newGroup, bytes = true, idBytes+kindBytes
			}
			b.last().addMachine(kind, id, newGroup)
			newGroup = false
			b.size += bytes
		}
	}
	return b.pages
}

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

func (p *Page) addMachine(kind MachineKind, id string, newGroup bool) {
	if newGroup {
		p.Machines = append(p.Machines, MachineGroup{MachineKind: kind})
	}
	last := &p.Machines[len(p.Machines)-1]
	last.Machines = append(last.Machines, id)
}
