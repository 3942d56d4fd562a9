package core

import "time"

// Now is the time of one step. Steady is monotonic, starts at 0 with the process and is used for
// intervals. Wall (Unix milliseconds) is used where times are compared between controllers; no safety
// rule depends on it.
type Now struct {
	Steady time.Duration
	Wall   int64
}
