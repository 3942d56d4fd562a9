package core

import "time"

// backoff is an exponential backoff: the time until which an operation is not retried, and the
// duration of the last pause.
type backoff struct {
	until     time.Duration
	lastPause time.Duration
}

// grow starts the next pause, which is twice as long as the last one, within minimum and maximum.
func (b backoff) grow(now, minimum, maximum time.Duration) backoff {
	b.lastPause = min(max(2*b.lastPause, minimum), maximum)
	b.until = now + b.lastPause
	return b
}
