package core

import (
	"time"

	"pepperlever/internal/progress"
	"pepperlever/internal/settings"
)

// environment holds what all components share: the settings, the time of the current step, the
// effects that the step has emitted so far, and the pending store requests.
type environment struct {
	cfg    *settings.Settings
	policy settings.Policy
	times  workerTimes

	now     Now
	effects []Effect
	// progress counts the units of work that the steps have finished. It is advanced in loops that
	// are certain to end, so that a step that is only long shows progress.
	progress *progress.Counter
	// ids generates the IDs of store requests and other identifiers that are unique within
	// this run of the process.
	ids            sequence
	pendingReplies pendingReplies
}

func newEnvironment(cfg *settings.Settings, policy settings.Policy) *environment {
	return &environment{
		cfg:            cfg,
		policy:         policy,
		times:          workerTimes{cfg},
		progress:       &progress.Counter{},
		pendingReplies: pendingReplies{},
	}
}

// every reports whether the periodic operation scheduled for *next is due, and if so schedules
// the next one after the interval.
func (e *environment) every(next *time.Duration, interval time.Duration) bool {
	if e.now.Steady < *next {
		return false
	}
	*next = e.now.Steady + interval
	return true
}

// emit appends an effect to those of the current step.
func (e *environment) emit(effect Effect) { e.effects = append(e.effects, effect) }

// log emits a log message with attributes as alternating keys and values.
func (e *environment) log(level Level, text string, attrs ...any) {
	e.emit(Log{Level: level, Text: text, Attrs: attrs})
}

// reportInterval is the interval between two reports of a worker.
func (e *environment) reportInterval() time.Duration { return e.times.reportInterval() }
