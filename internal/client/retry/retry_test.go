package retry

import (
	"strings"
	"testing"
	"time"
)

// An address that does not respond must not delay every request, and must be tried again
// after a while because it may have recovered.
func TestTargetsSkipFailingAddresses(t *testing.T) {
	for name, c := range map[string]struct {
		statuses string // responses in order: . is success, x no response, 5 unavailable
		picked   string
	}{
		"responding address is kept":       {"....", "aaaa"},
		"unavailable: next address":        {"5.5.", "abba"},
		"no response: next address":        {"x...", "abbb"},
		"no response three times: skipped": {"xxxxxx..", "abababaa"},
		"all skipped: still picks one":     {"xxxxxxxx", "abababab"},
	} {
		targets := NewTargets([]string{"a", "b"})
		picked := ""
		for i, s := range strings.Split(c.statuses, "") {
			now := time.Duration(i) * 100 * time.Millisecond
			target := targets.Pick(now)
			picked += target
			targets.Record(now, target, Outcome{Status: map[string]int{".": 200, "x": 0, "5": 503}[s]})
		}
		if picked != c.picked {
			t.Errorf("%s: picked %s, want %s", name, picked, c.picked)
		}
	}
	targets := NewTargets([]string{"a", "b"})
	for range 3 {
		targets.current = 0
		targets.Record(0, "a", Outcome{})
	}
	targets.current = 0
	if during := targets.Pick(skipDuration - 1); during != "b" {
		t.Errorf("before the skip ends: got %s, want b", during)
	}
	targets.current = 0
	if after := targets.Pick(skipDuration); after != "a" {
		t.Errorf("after the skip has ended: got %s, want a", after)
	}
}
