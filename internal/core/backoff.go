package core

import "time"

// backoff is how long something is left alone; it grows each time.
type backoff struct {
	until time.Duration
	last  time.Duration
}

// grow starts the next pause, twice as long as the last one, between least and most.
func (b backoff) grow(now, least, most time.Duration) backoff {
	b.last = min(max(2*b.last, least), most)
	b.until = now + b.last
	return b
}
