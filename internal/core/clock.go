package core

import "time"

// Now is the time of one step: Steady for intervals, Wall (Unix milliseconds) for
// what has to be compared between controllers and decides about no rule.
type Now struct {
	Steady time.Duration
	Wall   int64
}
