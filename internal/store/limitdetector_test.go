package store

import (
	"testing"
	"time"
)

// The store's limits can be lowered at any time. One transaction refused as too large is
// enough to detect it; rate-limit refusals count only if they persist.
func TestLowerLimitIsReportedOnce(t *testing.T) {
	const changes = 2
	type outcome struct {
		at                 time.Duration
		refused, oversized bool
	}
	for name, c := range map[string]struct {
		outcomes []outcome
		want     int // the index of the outcome that shows lower limits, or -1
	}{
		"all accepted":     {[]outcome{{0, false, false}, {4, false, false}}, -1},
		"too large":        {[]outcome{{0, false, false}, {1, false, true}, {2, false, true}}, 1},
		"refused briefly":  {[]outcome{{0, false, false}, {0, false, false}, {1, true, false}, {4, false, false}, {4, true, false}}, -1},
		"refused for long": {[]outcome{{0, true, false}, {2, false, false}, {4, true, false}}, 2},
		"separate windows": {[]outcome{{0, true, false}, {11, true, false}, {22, true, false}}, -1},
	} {
		d, start, got := limitDetector{window: 5 * time.Second}, time.Now(), -1
		for i, o := range c.outcomes {
			if d.record(start.Add(o.at*time.Second), changes, o.refused, o.oversized) {
				if got >= 0 {
					t.Errorf("%s: lower limits were reported twice", name)
				}
				got = i
			}
		}
		if got != c.want {
			t.Errorf("%s: lower limits were reported for outcome %d, want %d", name, got, c.want)
		}
	}
}
