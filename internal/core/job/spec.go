// Package job holds jobs, their tasks and bindings, and how they are stored.
package job

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/segmentio/encoding/json"

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

// slack absorbs rounding in sums of decimal amounts.
const slack = 1e-6

// Fits tells whether r fits into room.
func (r Resources) Fits(room Resources) bool {
	return r.CPUs <= room.CPUs+slack && r.GPUs <= room.GPUs+slack && r.MemoryGB <= room.MemoryGB+slack
}

// Plus adds n times o.
func (r Resources) Plus(o Resources, n float64) Resources {
	return Resources{r.CPUs + n*o.CPUs, r.GPUs + n*o.GPUs, r.MemoryGB + n*o.MemoryGB}
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
func (s *Spec) Allows(typ, zone string, spot bool) bool {
	return (s.Types == nil || slices.Contains(s.Types, typ)) &&
		(s.Zone == "" || s.Zone == zone) && (s.Spot || !spot)
}

// MinConcurrency is how many of the job's tasks have to be on machines at the same time for it to
// run: an array's may come one after the other.
func (s *Spec) MinConcurrency() int {
	if s.Kind == Array {
		return 1
	}
	return s.Tasks
}

// normal is the rank of the normal priority.
var normal = slices.Index(protocol.Priorities, "normal")

// AboveNormal tells whether the job's priority is higher than normal.
func (s *Spec) AboveNormal() bool { return s.Priority < normal }

// TaskID names task i of the job.
func (s *Spec) TaskID(i int) string { return s.ID + "/" + strconv.Itoa(i) }

// Parse turns a submission into a Spec. The error says in one line which
// field is at fault.
func Parse(body []byte, maxBytes int) (*Spec, error) {
	var in protocol.Submission
	if len(body) > protocol.MaxBody {
		return nil, errors.New("body is too large")
	}
	trimmed := strings.TrimLeft(string(body), " \t\r\n")
	if !strings.HasPrefix(trimmed, "{") {
		return nil, errors.New("body is not a JSON object")
	}
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("body is not a valid submission: %w", err)
	}
	p := parser{in: &in}
	s := p.spec()
	if p.err != nil {
		return nil, p.err
	}
	if len(s.withoutDependencies()) > maxBytes {
		return nil, errors.New("description is too long")
	}
	return s, nil
}

// withoutDependencies is the stored form of the description without the awaited jobs.
func (s *Spec) withoutDependencies() []byte {
	bare := *s
	bare.Dependencies = nil
	raw, err := json.Marshal(bare)
	if err != nil {
		panic(err) // plain data always has a JSON form
	}
	return raw
}

// StoredBytes is how long the stored description is, without the awaited jobs: they leave
// the head before anything is bound.
func (s *Spec) StoredBytes() int { return len(s.withoutDependencies()) }

// DependencyBytes is how long the stored list of awaited jobs is.
func (s *Spec) DependencyBytes() (n int) {
	for _, id := range s.Dependencies {
		n += len(id) + len(`"",`)
	}
	return n
}

// SubmittedID is the id of the job that a submission is of, whatever else is wrong with it,
// or nothing.
func SubmittedID(body []byte) string {
	var in struct {
		ID string `json:"uid"`
	}
	if len(body) > protocol.MaxBody || json.Unmarshal(body, &in) != nil || !ValidID(in.ID) {
		return ""
	}
	return in.ID
}

// parser collects the first fault of a submission.
type parser struct {
	in  *protocol.Submission
	err error
}

func (p *parser) fail(field, what string) {
	if p.err == nil {
		p.err = fmt.Errorf("%s %s", field, what)
	}
}

func (p *parser) text(field string, v *string) string {
	if v == nil || *v == "" {
		p.fail(field, "is missing")
		return ""
	}
	return *v
}

func (p *parser) number(field string, v *float64) float64 {
	if v == nil {
		p.fail(field, "is missing")
		return 0
	}
	if *v < 0 || math.IsNaN(*v) || math.IsInf(*v, 0) || *v > 1e12 {
		p.fail(field, "is out of range")
	}
	return *v
}

func (p *parser) flag(field string, v *bool) bool {
	if v == nil {
		p.fail(field, "is missing")
		return false
	}
	return *v
}

func (p *parser) choice(field string, v *string, of []string) int {
	i := slices.Index(of, p.text(field, v))
	if i < 0 {
		p.fail(field, "is none of "+strings.Join(of, ", "))
		return 0
	}
	return i
}

func (p *parser) spec() *Spec {
	in := p.in
	s := &Spec{
		ID:       p.text("job id", in.ID),
		Team:     p.text("team", in.Team),
		Class:    p.text("class", in.Class),
		Kind:     Kind(p.choice("kind", in.Kind, kinds)),
		Priority: p.choice("priority", in.Priority, protocol.Priorities),
		Need: Resources{
			CPUs: p.number("cpus", in.CPUs), GPUs: p.number("gpus", in.GPUs), MemoryGB: p.number("memory", in.MemoryGB),
		},
		Image:       p.text("image", in.Image),
		ImageGB:     p.number("image size", in.ImageGB),
		OneZone:     p.flag("one-zone flag", in.OneZone),
		Spread:      p.flag("spread flag", in.Spread),
		Spot:        p.flag("spot flag", in.Spot),
		EstimateS:   p.number("estimate", in.EstimateS),
		CheckpointS: p.number("checkpoint interval", in.CheckpointS),
		SaveS:       p.number("save time", in.SaveS),
	}
	if p.err == nil && !ValidID(s.ID) {
		p.fail("job id", "is malformed")
	}
	switch {
	case in.Tasks == nil:
		p.fail("task count", "is missing")
	case *in.Tasks < 1 || *in.Tasks > MaxTasks:
		p.fail("task count", "is out of range")
	default:
		s.Tasks = int(*in.Tasks)
	}
	if in.Types != nil {
		s.Types = append([]string{}, *in.Types...)
	}
	if slices.Contains(s.Types, "") {
		p.fail("machine type", "is missing")
	}
	if in.Zone != nil {
		s.Zone = p.text("zone", in.Zone)
	}
	if in.DeadlineS != nil {
		s.DeadlineS = p.number("deadline", in.DeadlineS)
	}
	s.Dependencies = p.jobs(in.Awaits)
	return s
}

// jobs are the distinct jobs that a submission names, in its order.
func (p *parser) jobs(in *[]string) (out []string) {
	if in == nil {
		return nil
	}
	for _, id := range *in {
		if !ValidID(id) {
			p.fail("awaited job's id", "is malformed")
		}
		if !slices.Contains(out, id) {
			out = append(out, id)
		}
	}
	return out
}

// ValidID tells whether id has the form of a job id and can be part of a key.
func ValidID(id string) bool {
	if !strings.HasPrefix(id, protocol.JobPrefix) || len(id) > 80 || len(id) == len(protocol.JobPrefix) {
		return false
	}
	for _, c := range []byte(id) {
		ok := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
		if !ok {
			return false
		}
	}
	return true
}

// Submission is the description as a user would give it; Parse gives it back.
func (s *Spec) Submission() protocol.Submission {
	tasks := int64(s.Tasks)
	out := protocol.Submission{ID: &s.ID, Class: &s.Class, Team: &s.Team, Kind: &kinds[s.Kind], Priority: &protocol.Priorities[s.Priority],
		Tasks: &tasks, CPUs: &s.Need.CPUs, GPUs: &s.Need.GPUs, MemoryGB: &s.Need.MemoryGB, Image: &s.Image, ImageGB: &s.ImageGB,
		OneZone: &s.OneZone, Spread: &s.Spread, Spot: &s.Spot,
		EstimateS: &s.EstimateS, CheckpointS: &s.CheckpointS, SaveS: &s.SaveS}
	if s.Types != nil {
		out.Types = &s.Types
	}
	if s.Zone != "" {
		out.Zone = &s.Zone
	}
	if s.DeadlineS > 0 {
		out.DeadlineS = &s.DeadlineS
	}
	if len(s.Dependencies) > 0 {
		out.Awaits = &s.Dependencies
	}
	return out
}
