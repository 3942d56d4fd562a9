// Package rollout tells when every controller has a version of the program, so that what
// only that version understands may be stored and said.
package rollout

import "slices"

// Version numbers what a controller understands. A higher one understands all of a lower.
type Version int

// Chains is the first version that knows jobs which await others and heads that tell their
// chunk size. Controllers of before state no version.
const Chains Version = 1

// Current is the version of this program.
const Current = Chains

// Record is the stored statement of a controller. It is never taken back: controllers are
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
func New(nodes []string) *Tracker { return &Tracker{nodes, map[string]Version{}} }

// Note takes a controller's statement.
func (t *Tracker) Note(node string, r Record) { t.stated[node] = max(t.stated[node], r.Version) }

// Stated is the version that a controller has stated, 0 for none.
func (t *Tracker) Stated(node string) Version { return t.stated[node] }

// Behind lists the controllers that have not stated a version.
func (t *Tracker) Behind(v Version) (out []string) {
	for _, node := range t.nodes {
		if t.stated[node] < v {
			out = append(out, node)
		}
	}
	return out
}

// All tells whether every controller has stated a version.
func (t *Tracker) All(v Version) bool {
	return !slices.ContainsFunc(t.nodes, func(node string) bool { return t.stated[node] < v })
}
