package settings

import (
	"errors"
	"fmt"
	"os"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Policy holds the operator's options. Without a script the defaults rule.
type Policy struct {
	// WindowS is the tumbling window of remembered use.
	WindowS float64
	// TimeoutS is how long a team waits before it jumps ahead.
	TimeoutS float64
	// Spare is the part of the fleet's capacity that stays free for work to come while
	// expensive, empty machines are drained.
	Spare float64
	// Preemption allows stopping tasks of other teams to make room. Off by default, since it
	// loses work.
	Preemption bool
	// Spot allows renting spot machines.
	Spot bool
}

// DefaultPolicy has the starting values of the design.
func DefaultPolicy() Policy {
	return Policy{WindowS: 600, TimeoutS: 30, Spare: 0.1, Spot: true}
}

// maxSteps bounds what a script may do; it runs once, at the start.
const maxSteps = 100_000

// option is one name that a script may set: a number within bounds, or a flag.
type option struct {
	number   *float64
	flag     *bool
	min, max float64
}

func (p *Policy) options() map[string]option {
	return map[string]option{
		"window_s":   {number: &p.WindowS, min: 1, max: 30 * 24 * 3600},
		"timeout_s":  {number: &p.TimeoutS, min: 0, max: 30 * 24 * 3600},
		"spare":      {number: &p.Spare, min: 0, max: 1},
		"preemption": {flag: &p.Preemption},
		"spot":       {flag: &p.Spot},
	}
}

// LoadPolicy runs the operator's script at path. A script that does not exist
// leaves the defaults; one that is wrong is an error with file and line.
func LoadPolicy(path string, s *Settings) (Policy, error) {
	p := DefaultPolicy()
	if path == "" {
		return p, nil
	}
	src, err := os.ReadFile(path)
	if errors.Is(err, os.ErrNotExist) || errors.Is(err, os.ErrPermission) {
		return p, nil
	}
	if err != nil {
		return p, err
	}
	return p, p.run(path, src, s)
}

// run executes the script, which can neither load modules nor reach anything
// outside, and takes the options that it sets.
func (p *Policy) run(path string, src []byte, s *Settings) error {
	thread := &starlark.Thread{Name: path}
	thread.SetMaxExecutionSteps(maxSteps)
	opts := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}
	globals, err := starlark.ExecFileOptions(opts, thread, path, src, predeclared(s))
	var eval *starlark.EvalError
	if errors.As(err, &eval) && len(eval.CallStack) > 0 {
		return fmt.Errorf("%s: %s", eval.CallStack.At(0).Pos, eval.Msg)
	}
	if err != nil {
		return err
	}
	options := p.options()
	for _, name := range globals.Keys() {
		k, known := options[name]
		if !known {
			continue // a helper of the script's own
		}
		if err := k.set(globals[name]); err != nil {
			return fmt.Errorf("%s: %s %w", path, name, err)
		}
	}
	return nil
}

func (k option) set(v starlark.Value) error {
	if k.flag != nil {
		b, ok := v.(starlark.Bool)
		if !ok {
			return errors.New("must be True or False")
		}
		*k.flag = bool(b)
		return nil
	}
	f, ok := starlark.AsFloat(v)
	if !ok || f < k.min || f > k.max || f != f {
		return fmt.Errorf("must be a number from %v to %v", k.min, k.max)
	}
	*k.number = f
	return nil
}

// predeclared gives scripts the platform's figures to compute with.
func predeclared(s *Settings) starlark.StringDict {
	teams := starlark.NewDict(len(s.Params.Teams))
	for _, t := range s.Params.Teams {
		if err := teams.SetKey(starlark.String(t.Name), starlark.Float(t.CPUs)); err != nil {
			panic(err) // a fresh dict takes any string
		}
	}
	return starlark.StringDict{
		"report_s": starlark.Float(s.Params.Workers.ReportS),
		"lease_s":  starlark.Float(s.Params.Workers.LeaseS),
		"teams":    teams,
	}
}
