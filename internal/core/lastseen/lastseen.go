// Package lastseen keeps the time of the newest event of a kind, such as a message of a peer. It
// distinguishes an event at the start of the process from none at all.
package lastseen

import "time"

// Time is the time of the newest event, measured from the start of the process. The zero value means
// that there has been no event since then.
type Time struct {
	at   time.Duration
	seen bool
}

// Record records an event.
func (t *Time) Record(now time.Duration) { t.at, t.seen = now, true }

// Ever reports whether there has been an event.
func (t Time) Ever() bool { return t.seen }

// After reports whether the newest event is later than a time.
func (t Time) After(at time.Duration) bool { return t.seen && t.at > at }

// Within reports whether the newest event is less than limit ago. It is false if there has been none,
// so it may serve as evidence that the source of the events works.
func (t Time) Within(now, limit time.Duration) bool { return t.seen && now-t.at < limit }

// AbsentFor reports whether this process has waited for an event for at least limit: since the newest
// one or, if there has been none, since the process started. It may serve as evidence that the source of the
// events does not work. Shortly after the start of the process, both Within and AbsentFor are false.
func (t Time) AbsentFor(now, limit time.Duration) bool { return now-t.at >= limit }
