package store

import (
	"sync"
	"time"
)

// pressure notices that the key-value store takes fewer changes than its present limit
// says. It reports that once.
type pressure struct {
	mu     sync.Mutex
	window time.Duration
	// windowStart is when the present window began.
	windowStart time.Time
	// accepted and refused count the changes of the window.
	accepted, refused int
	noticed           bool
}

// refusedShare is which share of the changes of a window has to be refused because of the
// rate. Controllers that write at the same moment are refused now and then within the
// limit, too, but each of them waits and tries again.
const refusedShare = 0.5

// note takes the outcome of a transaction with changes, and reports whether it is the
// first that shows the lower limits.
func (p *pressure) note(now time.Time, changes int, refused, oversized bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.noticed || changes == 0 {
		return false
	}
	if now.Sub(p.windowStart) > p.window {
		p.windowStart, p.accepted, p.refused = now, 0, 0
	}
	if refused {
		p.refused += changes
	} else {
		p.accepted += changes
	}
	full := now.Sub(p.windowStart) > p.window/2
	mostRefused := float64(p.refused) > refusedShare*float64(p.accepted+p.refused)
	p.noticed = oversized || full && mostRefused
	return p.noticed
}
