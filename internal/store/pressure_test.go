package store

import (
	"testing"
	"time"
)

// Limits become lower without notice: a transaction that is called too large shows it at
// once, refusals because of the rate only where they go on.
func TestLowerLimitsAreNoticedOnce(t *testing.T) {
	const changes = 2
	type outcome struct {
		at                 time.Duration
		refused, oversized bool
	}
	for name, c := range map[string]struct {
		outcomes []outcome
		want     int // the outcome that shows it, or -1
	}{
		"all accepted":       {[]outcome{{0, false, false}, {4, false, false}}, -1},
		"too large":          {[]outcome{{0, false, false}, {1, false, true}, {2, false, true}}, 1},
		"a refused moment":   {[]outcome{{0, false, false}, {0, false, false}, {1, true, false}, {4, false, false}, {4, true, false}}, -1},
		"refused throughout": {[]outcome{{0, true, false}, {2, false, false}, {4, true, false}}, 2},
		"windows apart":      {[]outcome{{0, true, false}, {11, true, false}, {22, true, false}}, -1},
	} {
		p, start, got := pressure{window: 5 * time.Second}, time.Now(), -1
		for i, o := range c.outcomes {
			if p.note(start.Add(o.at*time.Second), changes, o.refused, o.oversized) {
				if got >= 0 {
					t.Errorf("%s: reported again", name)
				}
				got = i
			}
		}
		if got != c.want {
			t.Errorf("%s: shown by outcome %d, want %d", name, got, c.want)
		}
	}
}
