// Package job holds jobs, their tasks and bindings, and how they are stored.
package job

import (
	"slices"

	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// MaxTasks is the largest number of tasks that a job may have.
const MaxTasks = 100_000

// Kind tells how the tasks of a job belong together.
type Kind uint8

// Kinds of jobs.
const (
	Array Kind = iota
	Gang
	Service
)

// kinds are the names of kinds on the wire.
var kinds = []string{protocol.KindArray, protocol.KindGang, protocol.KindService}

// Resources is what a task takes of its machine, or what a machine has.
type Resources struct {
	CPUs     float64 `json:"c"`
	GPUs     float64 `json:"g,omitempty"`
	MemoryGB float64 `json:"m"`
}

// roundingSlack absorbs rounding in sums of decimal amounts.
const roundingSlack = 1e-6

// Fits tells whether r fits into the free resources.
func (r Resources) Fits(free Resources) bool {
	return r.CPUs <= free.CPUs+roundingSlack &&
		r.GPUs <= free.GPUs+roundingSlack &&
		r.MemoryGB <= free.MemoryGB+roundingSlack
}

// Plus adds n times o.
func (r Resources) Plus(o Resources, n float64) Resources {
	return Resources{
		CPUs:     r.CPUs + n*o.CPUs,
		GPUs:     r.GPUs + n*o.GPUs,
		MemoryGB: r.MemoryGB + n*o.MemoryGB,
	}
}

// Spec is the immutable description of a job.
type Spec struct {
	ID       string    `json:"-"`
	Team     string    `json:"tm"`
	Class    string    `json:"k"`
	Kind     Kind      `json:"t,omitempty"`
	Priority int       `json:"p"`
	Tasks    int       `json:"n"`
	Need     Resources `json:"r"`
	Image    string    `json:"i"`
	ImageGB  float64   `json:"ig"`
	// Types is nil when every machine type is allowed.
	Types       []string `json:"ty,omitempty"`
	Zone        string   `json:"z,omitempty"`
	OneZone     bool     `json:"oz,omitempty"`
	Spread      bool     `json:"sp,omitempty"`
	Spot        bool     `json:"st,omitempty"`
	EstimateS   float64  `json:"e"`
	CheckpointS float64  `json:"cp,omitempty"`
	SaveS       float64  `json:"sv,omitempty"`
	DeadlineS   float64  `json:"d,omitempty"`
	// Dependencies names the jobs that have to be done before any task of this one starts,
	// without those that were done when it was accepted.
	Dependencies []string `json:"aw,omitempty"`
	// Accepted is the time of day at acceptance in milliseconds. It orders
	// work and sets deadlines; no rule depends on it.
	Accepted int64 `json:"a"`
}

// Allows tells whether a task of the job may run on such a machine at all.
func (s *Spec) Allows(machineType, zone string, spot bool) bool {
	allowsType := s.Types == nil || slices.Contains(s.Types, machineType)
	allowsZone := s.Zone == "" || s.Zone == zone
	return allowsType && allowsZone && (s.Spot || !spot)
}

// MinConcurrency is how many of the job's tasks have to be on machines at the same time for it to
// run: an array's may come one after the other.
func (s *Spec) MinConcurrency() int {
	if s.Kind == Array {
		return 1
	}
	return s.Tasks
}

// normalPriority is the rank of the normal priority.
var normalPriority = slices.Index(protocol.Priorities, "normal")

// AboveNormal tells whether the job's priority is higher than normal.
func (s *Spec) AboveNormal() bool { return s.Priority < normalPriority }

// withoutDependencies is the stored form of the description without the dependencies.
func (s *Spec) withoutDependencies() []byte {
	bare := *s
	bare.Dependencies = nil
	return mustjson.Marshal(bare)
}

// StoredBytes is how long the stored description is, without the dependencies: they leave the
// head before anything is bound.
func (s *Spec) StoredBytes() int { return len(s.withoutDependencies()) }

// DependencyBytes is how long the stored list of dependencies is.
func (s *Spec) DependencyBytes() (n int) {
	for _, id := range s.Dependencies {
		n += len(id) + len(`"",`)
	}
	return n
}
