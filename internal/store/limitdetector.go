package store

import (
	"sync"
	"time"
)

// limitDetector detects that the key-value store's limits on changes or on the size of a
// transaction have been lowered. It reports that once.
type limitDetector struct {
	mu     sync.Mutex
	window time.Duration
	// windowStart is when the current window began.
	windowStart time.Time
	// accepted and refused count the changes in the window.
	accepted, refused int
	reported          bool
}

// minRefusedShare is the share of a window's changes above which rate-limit refusals show a
// lower limit. Controllers that write at the same moment are occasionally refused within the
// limit too, but they back off and retry.
const minRefusedShare = 0.5

// record records the outcome of a transaction, and reports whether it is the first to show
// that lower limits are in force.
func (d *limitDetector) record(now time.Time, changes int, refused, oversized bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reported || changes == 0 {
		return false
	}
	if now.Sub(d.windowStart) > d.window {
		d.windowStart, d.accepted, d.refused = now, 0, 0
	}
	if refused {
		d.refused += changes
	} else {
		d.accepted += changes
	}
	halfElapsed := now.Sub(d.windowStart) > d.window/2
	mostRefused := float64(d.refused) > minRefusedShare*float64(d.accepted+d.refused)
	d.reported = oversized || halfElapsed && mostRefused
	return d.reported
}
