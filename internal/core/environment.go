package core

import (
	"time"

	"pepperlever/internal/settings"
)

// environment is what all components share: the settings, the time of the present step, the
// effects that it has had so far, and the requests to the store that are not answered yet.
type environment struct {
	cfg    *settings.Settings
	policy settings.Policy
	times  workerTimes

	now     Now
	effects []Effect
	// ids numbers requests to the store and names what has to be unique in this run.
	ids            sequence
	pendingReplies pendingReplies
}

func newEnvironment(cfg *settings.Settings, policy settings.Policy) *environment {
	return &environment{
		cfg:            cfg,
		policy:         policy,
		times:          workerTimes{cfg},
		pendingReplies: pendingReplies{},
	}
}

// every reports whether the duty due at *next is due now, and if so sets its
// next time.
func (e *environment) every(next *time.Duration, interval time.Duration) bool {
	if e.now.Steady < *next {
		return false
	}
	*next = e.now.Steady + interval
	return true
}

// emit adds an effect of this step.
func (e *environment) emit(effect Effect) { e.effects = append(e.effects, effect) }

// log adds a line for the operator, with attributes in pairs of name and value.
func (e *environment) log(level Level, text string, attrs ...any) {
	e.emit(Log{Level: level, Text: text, Attrs: attrs})
}

// reportInterval is the pause between two heartbeats of a worker.
func (e *environment) reportInterval() time.Duration { return e.times.reportInterval() }
