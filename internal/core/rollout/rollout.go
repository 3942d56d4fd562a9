// Package rollout tells when every controller has a version of the program, so that what
// only that version understands may be stored and sent.
package rollout

import "slices"

// Version numbers what a controller understands. A higher one understands all of a lower.
type Version int

// Dependencies is the first version that knows jobs which depend on others, and heads that
// state their chunk size. Controllers of earlier versions state none.
const Dependencies Version = 1

// Current is the version of this program.
const Current = Dependencies

// Record is the stored statement of a controller. It is never withdrawn: controllers are
// only ever upgraded.
type Record struct {
	Version Version `json:"v"`
}

// Tracker follows the statements of the controllers of one deployment.
type Tracker struct {
	nodes  []string
	stated map[string]Version
}

// New makes a Tracker for the controllers that the settings name.
func New(nodes []string) *Tracker {
	return &Tracker{nodes: nodes, stated: map[string]Version{}}
}

// Observe takes a controller's statement.
func (t *Tracker) Observe(node string, r Record) {
	t.stated[node] = max(t.stated[node], r.Version)
}

// Version is the version that a controller has stated, 0 for none.
func (t *Tracker) Version(node string) Version { return t.stated[node] }

// AllAtLeast tells whether every controller has stated v or a later version.
func (t *Tracker) AllAtLeast(v Version) bool {
	return !slices.ContainsFunc(t.nodes, func(node string) bool { return t.stated[node] < v })
}
