// Package job defines jobs, their tasks and the bindings of tasks to machines, and the form in
// which they are stored.
package job

import (
	"slices"

	"pepperlever/internal/mustjson"
	"pepperlever/internal/protocol"
)

// MaxTasks is the largest number of tasks that a job may have.
const MaxTasks = 100_000

// Kind is the kind of a job. It determines how the tasks are scheduled relative to each other.
type Kind uint8

// Kinds of jobs. Tasks of an array run independently of each other, the tasks of a gang start
// together, and the tasks of a service are long-running service replicas.
const (
	Array Kind = iota
	Gang
	Service
)

// kindNames holds the wire name of each Kind.
var kindNames = []string{protocol.KindArray, protocol.KindGang, protocol.KindService}

// Spec is the description of a job as it was accepted. It does not change afterwards.
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
	// Types lists the allowed machine types, nil if every type is allowed.
	Types   []string `json:"ty,omitempty"`
	Zone    string   `json:"z,omitempty"`
	OneZone bool     `json:"oz,omitempty"`
	Spread  bool     `json:"sp,omitempty"`
	Spot    bool     `json:"st,omitempty"`
	// EstimateS is the estimated run time of a task, CheckpointS the interval between its
	// checkpoints (0 for none), SaveS the time that saving one takes, and DeadlineS the
	// deadline, counted from acceptance (0 for none), all in seconds.
	EstimateS   float64 `json:"e"`
	CheckpointS float64 `json:"cp,omitempty"`
	SaveS       float64 `json:"sv,omitempty"`
	DeadlineS   float64 `json:"d,omitempty"`
	// Dependencies lists the jobs that have to be done before any task of this job starts. Jobs
	// that were already done when this one was accepted are left out.
	Dependencies []string `json:"aw,omitempty"`
	// Accepted is the wall-clock time of acceptance in Unix milliseconds. It is used for
	// ordering and deadlines only; correctness does not depend on it.
	Accepted int64 `json:"a"`
}

// Allows reports whether a task of the job may run on a machine of this type in this zone; spot is
// set for spot machines.
func (s *Spec) Allows(machineType, zone string, spot bool) bool {
	allowsType := s.Types == nil || slices.Contains(s.Types, machineType)
	allowsZone := s.Zone == "" || s.Zone == zone
	return allowsType && allowsZone && (s.Spot || !spot)
}

// MinConcurrency returns how many tasks have to be on machines at the same time for the job to run.
// Tasks of an array may run one after the other; gangs and services need all of theirs at once.
func (s *Spec) MinConcurrency() int {
	if s.Kind == Array {
		return 1
	}
	return s.Tasks
}

// normalPriority is the rank of the normal priority. A lower rank is more urgent.
var normalPriority = slices.Index(protocol.Priorities, "normal")

// AboveNormal reports whether the job's priority is higher than normal.
func (s *Spec) AboveNormal() bool { return s.Priority < normalPriority }

// marshalWithoutDependencies returns the stored form of the spec without the dependencies.
func (s *Spec) marshalWithoutDependencies() []byte {
	bare := *s
	bare.Dependencies = nil
	return mustjson.Marshal(bare)
}

// StoredBytes returns the size of the stored spec in bytes. Dependencies don't count: they are
// dropped from the head when the first task is bound.
func (s *Spec) StoredBytes() int { return len(s.marshalWithoutDependencies()) }

// DependencyBytes returns the size of the stored list of dependencies in bytes.
func (s *Spec) DependencyBytes() (n int) {
	for _, id := range s.Dependencies {
		n += len(id) + len(`"",`)
	}
	return n
}
