package job

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/segmentio/encoding/json"

	"pepperlever/internal/protocol"
)

// Reasons to refuse a submission as a whole.
var (
	ErrBodyTooLarge = errors.New("body is too large")
	ErrNotObject    = errors.New("body is not a JSON object")
	ErrTooLong      = errors.New("description is too long")
)

// FieldError says what is wrong with a field of a submission.
type FieldError struct {
	Field   string
	Problem string
}

// Error names the field and the problem.
func (e *FieldError) Error() string { return e.Field + " " + e.Problem }

// maxNumber bounds the amounts and times of a submission.
const maxNumber = 1e12

// Parse turns a submission into a Spec, whose stored form may have up to maxBytes. The error says
// in one line which field is at fault.
func Parse(body []byte, maxBytes int) (*Spec, error) {
	if len(body) > protocol.MaxBody {
		return nil, ErrBodyTooLarge
	}
	if !isObject(body) {
		return nil, ErrNotObject
	}
	var in protocol.Submission
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, fmt.Errorf("body is not a valid submission: %w", err)
	}
	p := parser{in: &in}
	s := p.spec()
	if p.err != nil {
		return nil, p.err
	}
	if len(s.withoutDependencies()) > maxBytes {
		return nil, ErrTooLong
	}
	return s, nil
}

// isObject tells whether a body begins as a JSON object.
func isObject(body []byte) bool {
	return strings.HasPrefix(strings.TrimLeft(string(body), " \t\r\n"), "{")
}

// SubmittedID is the ID of the job that a submission describes, whatever else is wrong with it, or
// empty.
func SubmittedID(body []byte) string {
	var in struct {
		ID string `json:"uid"`
	}
	if len(body) > protocol.MaxBody || json.Unmarshal(body, &in) != nil || !ValidID(in.ID) {
		return ""
	}
	return in.ID
}

// parser turns the fields of a submission into those of a Spec, and keeps the first fault.
type parser struct {
	in  *protocol.Submission
	err error
}

// fail notes a fault, unless one was found before.
func (p *parser) fail(field, problem string) {
	if p.err == nil {
		p.err = &FieldError{Field: field, Problem: problem}
	}
}

func (p *parser) text(field string, value *string) string {
	if value == nil || *value == "" {
		p.fail(field, "is missing")
		return ""
	}
	return *value
}

func (p *parser) number(field string, value *float64) float64 {
	if value == nil {
		p.fail(field, "is missing")
		return 0
	}
	if *value < 0 || math.IsNaN(*value) || math.IsInf(*value, 0) || *value > maxNumber {
		p.fail(field, "is out of range")
	}
	return *value
}

func (p *parser) flag(field string, value *bool) bool {
	if value == nil {
		p.fail(field, "is missing")
		return false
	}
	return *value
}

func (p *parser) choice(field string, value *string, choices []string) int {
	index := slices.Index(choices, p.text(field, value))
	if index < 0 {
		p.fail(field, "is none of "+strings.Join(choices, ", "))
		return 0
	}
	return index
}

// spec reads all fields. The first fault is the one that is reported, so their order matters.
func (p *parser) spec() *Spec {
	in := p.in
	s := &Spec{
		ID:          p.text("job id", in.ID),
		Team:        p.text("team", in.Team),
		Class:       p.text("class", in.Class),
		Kind:        Kind(p.choice("kind", in.Kind, kinds)),
		Priority:    p.choice("priority", in.Priority, protocol.Priorities),
		Need:        p.resources(),
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
	s.Tasks = p.tasks()
	s.Types = p.machineTypes()
	if in.Zone != nil {
		s.Zone = p.text("zone", in.Zone)
	}
	if in.DeadlineS != nil {
		s.DeadlineS = p.number("deadline", in.DeadlineS)
	}
	s.Dependencies = p.dependencies()
	return s
}

func (p *parser) resources() Resources {
	return Resources{
		CPUs:     p.number("cpus", p.in.CPUs),
		GPUs:     p.number("gpus", p.in.GPUs),
		MemoryGB: p.number("memory", p.in.MemoryGB),
	}
}

func (p *parser) tasks() int {
	tasks := p.in.Tasks
	switch {
	case tasks == nil:
		p.fail("task count", "is missing")
		return 0
	case *tasks < 1 || *tasks > MaxTasks:
		p.fail("task count", "is out of range")
		return 0
	}
	return int(*tasks)
}

// machineTypes are the allowed machine types, nil when every type is.
func (p *parser) machineTypes() []string {
	if p.in.Types == nil {
		return nil
	}
	if slices.Contains(*p.in.Types, "") {
		p.fail("machine type", "is missing")
	}
	return append([]string{}, *p.in.Types...)
}

// dependencies are the distinct jobs that a submission names, in its order.
func (p *parser) dependencies() []string {
	if p.in.Awaits == nil {
		return nil
	}
	var distinct []string
	for _, id := range *p.in.Awaits {
		if !ValidID(id) {
			p.fail("awaited job's id", "is malformed")
		}
		if !slices.Contains(distinct, id) {
			distinct = append(distinct, id)
		}
	}
	return distinct
}

// Submission is the description as a user would give it; Parse gives it back.
func (s *Spec) Submission() protocol.Submission {
	tasks := int64(s.Tasks)
	out := protocol.Submission{
		ID:          &s.ID,
		Class:       &s.Class,
		Team:        &s.Team,
		Kind:        &kinds[s.Kind],
		Priority:    &protocol.Priorities[s.Priority],
		Tasks:       &tasks,
		CPUs:        &s.Need.CPUs,
		GPUs:        &s.Need.GPUs,
		MemoryGB:    &s.Need.MemoryGB,
		Image:       &s.Image,
		ImageGB:     &s.ImageGB,
		OneZone:     &s.OneZone,
		Spread:      &s.Spread,
		Spot:        &s.Spot,
		EstimateS:   &s.EstimateS,
		CheckpointS: &s.CheckpointS,
		SaveS:       &s.SaveS,
	}
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
