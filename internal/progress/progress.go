// Package progress counts finished units of work. By the count other goroutines can tell whether the one
// that does the work gets ahead, however long a unit takes.
package progress

import "sync/atomic"

// Counter counts the finished units of work of one goroutine. Other goroutines may read it.
type Counter struct{ units atomic.Uint64 }

// Advance records that one unit of work is finished. In a loop it may be called only if the loop is
// certain to end; otherwise endless work would count as progress.
func (c *Counter) Advance() { c.units.Add(1) }

// Units returns the number of finished units.
func (c *Counter) Units() uint64 { return c.units.Load() }
