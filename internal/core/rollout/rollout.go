// Package rollout tracks the program versions of the controllers, so that a new stored or wire
// format is used only once every controller understands it.
package rollout

import "slices"

// Version identifies the stored and wire formats that a controller understands. Each version also
// understands the formats of all lower versions.
type Version int

// Dependencies is the first version that supports job dependencies and job heads that contain their
// chunk size. Controllers of earlier versions do not store a Record.
const Dependencies Version = 1

// Current is the version of this program.
const Current = Dependencies

// Record is the stored form of a controller's version. It is never removed, since controllers
// are never downgraded.
type Record struct {
	Version Version `json:"v"`
}

// Tracker tracks the versions of the controllers of one site.
type Tracker struct {
	nodes    []string
	versions map[string]Version
}

// New returns a Tracker for the controllers that the settings name.
func New(nodes []string) *Tracker {
	return &Tracker{nodes: nodes, versions: map[string]Version{}}
}

// Observe records a controller's stored version. Lower versions than already known are ignored.
func (t *Tracker) Observe(node string, r Record) {
	t.versions[node] = max(t.versions[node], r.Version)
}

// Version returns the highest version observed for a controller, 0 if none.
func (t *Tracker) Version(node string) Version { return t.versions[node] }

// AllAtLeast reports whether every controller has version v or later.
func (t *Tracker) AllAtLeast(v Version) bool {
	return !slices.ContainsFunc(t.nodes, func(node string) bool { return t.versions[node] < v })
}
