package settings

import (
	"errors"
	"fmt"
	"os"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Policy holds the operator's scheduling options. Without a script the defaults apply.
type Policy struct {
	// WindowS is the length in seconds of the tumbling window over which the teams'
	// resource usage is recorded.
	WindowS float64
	// TimeoutS is how many seconds a job waits before it counts as overdue, so that its team
	// takes precedence over others.
	TimeoutS float64
	// Spare is the share of the fleet's CPUs that is kept free for future tasks while
	// expensive machines with little load are drained.
	Spare float64
	// Preemption allows stopping tasks of other teams to free capacity. It is off by
	// default, since it loses work.
	Preemption bool
	// Spot allows renting spot machines.
	Spot bool
}

// DefaultPolicy returns the options that apply without a script.
func DefaultPolicy() Policy {
	return Policy{WindowS: 600, TimeoutS: 30, Spare: 0.1, Spot: true}
}

// maxScriptSteps limits the execution steps of a script, which runs once at startup.
const maxScriptSteps = 100_000

// option is a variable that a script may set: either a number within bounds or a boolean.
type option struct {
	number   *float64
	flag     *bool
	min, max float64
}

// options returns the options by the names that scripts use.
func (p *Policy) options() map[string]option {
	return map[string]option{
		"window_s":   {number: &p.WindowS, min: 1, max: 30 * 24 * 3600},
		"timeout_s":  {number: &p.TimeoutS, min: 0, max: 30 * 24 * 3600},
		"spare":      {number: &p.Spare, min: 0, max: 1},
		"preemption": {flag: &p.Preemption},
		"spot":       {flag: &p.Spot},
	}
}

// LoadPolicy runs the operator's script at path. If path is empty, or the script does not exist
// or its permissions forbid reading it, the defaults apply. An invalid script is an error that
// names the file and either the line or the option.
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

// run executes the script and applies the options that it sets. A script can neither load
// modules nor access anything outside the interpreter.
func (p *Policy) run(path string, src []byte, s *Settings) error {
	thread := &starlark.Thread{Name: path}
	thread.SetMaxExecutionSteps(maxScriptSteps)
	fileOptions := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true}
	globals, err := starlark.ExecFileOptions(fileOptions, thread, path, src, predeclared(s))
	var eval *starlark.EvalError
	if errors.As(err, &eval) && len(eval.CallStack) > 0 {
		return fmt.Errorf("%s: %s", eval.CallStack.At(0).Pos, eval.Msg)
	}
	if err != nil {
		return err
	}
	options := p.options()
	for _, name := range globals.Keys() {
		opt, known := options[name]
		if !known {
			continue // a variable for the script's own use
		}
		if err := opt.set(globals[name]); err != nil {
			return fmt.Errorf("%s: %s %w", path, name, err)
		}
	}
	return nil
}

// set assigns a script's value to the option, if it has the right type and is within bounds.
func (o option) set(v starlark.Value) error {
	if o.flag != nil {
		b, ok := v.(starlark.Bool)
		if !ok {
			return errors.New("must be True or False")
		}
		*o.flag = bool(b)
		return nil
	}
	f, ok := starlark.AsFloat(v)
	if !ok || f < o.min || f > o.max || f != f {
		return fmt.Errorf("must be a number from %v to %v", o.min, o.max)
	}
	*o.number = f
	return nil
}

// predeclared returns the platform settings that a script can read.
func predeclared(s *Settings) starlark.StringDict {
	teams := starlark.NewDict(len(s.Params.Teams))
	for _, t := range s.Params.Teams {
		if err := teams.SetKey(starlark.String(t.Name), starlark.Float(t.CPUs)); err != nil {
			panic(err) // a new dict accepts any string key
		}
	}
	return starlark.StringDict{
		"report_s": starlark.Float(s.Params.Workers.ReportS),
		"lease_s":  starlark.Float(s.Params.Workers.LeaseS),
		"teams":    teams,
	}
}
