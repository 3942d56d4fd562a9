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

// Errors that concern a submission as a whole.
var (
	ErrBodyTooLarge = errors.New("body is too large")
	ErrNotObject    = errors.New("body is not a JSON object")
	ErrTooLong      = errors.New("spec is too long")
)

// FieldError reports an invalid field of a submission.
type FieldError struct {
	Field   string
	Problem string
}

// Error returns the field and the problem.
func (e *FieldError) Error() string { return e.Field + " " + e.Problem }

// maxNumber is the upper bound of every amount and duration in a submission.
const maxNumber = 1e12

// Parse validates a submission and converts it to a Spec. The stored form of the spec without
// dependencies may have up to maxBytes. The error is a single line. It names the first field that is
// missing or invalid, unless the submission as a whole is invalid.
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
	if len(s.marshalWithoutDependencies()) > maxBytes {
		return nil, ErrTooLong
	}
	return s, nil
}

// isObject reports whether a body starts like a JSON object.
func isObject(body []byte) bool {
	return strings.HasPrefix(strings.TrimLeft(string(body), " \t\r\n"), "{")
}

// SubmittedID returns the job ID of a submission even if other fields are invalid, or "" if the
// body has no valid ID.
func SubmittedID(body []byte) string {
	var in struct {
		ID string `json:"uid"`
	}
	if len(body) > protocol.MaxBody || json.Unmarshal(body, &in) != nil || !ValidID(in.ID) {
		return ""
	}
	return in.ID
}

// parser converts the fields of a submission to those of a Spec and keeps the first error.
type parser struct {
	in  *protocol.Submission
	err error
}

// fail records an error unless there is one already.
func (p *parser) fail(field, problem string) {
	if p.err == nil {
		p.err = &FieldError{Field: field, Problem: problem}
	}
}

// text returns a required string that must not be empty.
func (p *parser) text(field string, value *string) string {
	if value == nil || *value == "" {
		p.fail(field, "is missing")
		return ""
	}
	return *value
}

// number returns a required number between 0 and maxNumber.
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

// flag returns a required boolean.
func (p *parser) flag(field string, value *bool) bool {
	if value == nil {
		p.fail(field, "is missing")
		return false
	}
	return *value
}

// choice returns the index of a required string in choices.
func (p *parser) choice(field string, value *string, choices []string) int {
	index := slices.Index(choices, p.text(field, value))
	if index < 0 {
		p.fail(field, "must be one of "+strings.Join(choices, ", "))
		return 0
	}
	return index
}

// spec converts all fields. Their order matters because only the first error is reported.
func (p *parser) spec() *Spec {
	in := p.in
	s := &Spec{
		ID:          p.text("job id", in.ID),
		Team:        p.text("team", in.Team),
		Class:       p.text("class", in.Class),
		Kind:        Kind(p.choice("kind", in.Kind, kindNames)),
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

// tasks returns the number of tasks, or 0 if it is missing or out of range.
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

// machineTypes returns the allowed machine types, nil if every type is allowed.
func (p *parser) machineTypes() []string {
	if p.in.Types == nil {
		return nil
	}
	if slices.Contains(*p.in.Types, "") {
		p.fail("machine type", "is empty")
	}
	return append([]string{}, *p.in.Types...)
}

// dependencies returns the IDs of the jobs that the submission depends on, without duplicates and in
// its order.
func (p *parser) dependencies() []string {
	if p.in.Awaits == nil {
		return nil
	}
	var distinct []string
	for _, id := range *p.in.Awaits {
		if !ValidID(id) {
			p.fail("dependency job id", "is malformed")
		}
		if !slices.Contains(distinct, id) {
			distinct = append(distinct, id)
		}
	}
	return distinct
}

// Submission returns the submission that Parse converts to this spec.
func (s *Spec) Submission() protocol.Submission {
	tasks := int64(s.Tasks)
	out := protocol.Submission{
		ID:          &s.ID,
		Class:       &s.Class,
		Team:        &s.Team,
		Kind:        &kindNames[s.Kind],
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
