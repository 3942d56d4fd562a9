package lastseen

import (
	"testing"
	"time"
)

// Before the first event nothing is known of its source, neither that it works nor, for as long as the
// limit, that it does not. An event at the start of the process is an event.
func TestNoEventIsNotAnEventAtTheStart(t *testing.T) {
	const limit = 6 * time.Second
	for name, test := range map[string]struct {
		events            []time.Duration
		now               time.Duration
		within, absentFor bool
	}{
		"none, just started":        {now: 0},
		"none, before the limit":    {now: limit - 1},
		"none, at the limit":        {now: limit, absentFor: true},
		"at the start":              {events: []time.Duration{0}, now: limit - 1, within: true},
		"at the start, long ago":    {events: []time.Duration{0}, now: limit, absentFor: true},
		"just now, after a silence": {events: []time.Duration{0, 2 * limit}, now: 2 * limit, within: true},
		"limit ago":                 {events: []time.Duration{limit}, now: 2 * limit, absentFor: true},
	} {
		var last Time
		for _, at := range test.events {
			last.Record(at)
		}
		if got := last.Within(test.now, limit); got != test.within {
			t.Errorf("%s: got within the limit %v", name, got)
		}
		if got := last.AbsentFor(test.now, limit); got != test.absentFor {
			t.Errorf("%s: got absent for the limit %v", name, got)
		}
		if got := last.Ever(); got != (len(test.events) > 0) {
			t.Errorf("%s: got ever seen %v", name, got)
		}
		if got := last.After(-1); got != (len(test.events) > 0) || last.After(test.now) {
			t.Errorf("%s: got after a time before the start %v, after now %v", name, got, last.After(test.now))
		}
	}
}
