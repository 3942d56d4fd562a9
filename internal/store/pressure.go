package store

import (
	"sync"
	"time"
)

// pressure notices that the state service takes fewer changes than its present limit
// says. It tells so once.
type pressure struct {
	mu     sync.Mutex
	window time.Duration
	// since is when the present window began; taken and refused count the changes of it.
	since          time.Time
	taken, refused int
	noticed        bool
}

// refusedShare is which share of the changes of a window has to be refused for want of
// room. Controllers that write at the same moment are refused now and then within the
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
	if now.Sub(p.since) > p.window {
		p.since, p.taken, p.refused = now, 0, 0
	}
	if refused {
		p.refused += changes
	} else {
		p.taken += changes
	}
	full := now.Sub(p.since) > p.window/2
	p.noticed = oversized || full && float64(p.refused) > refusedShare*float64(p.taken+p.refused)
	return p.noticed
}
