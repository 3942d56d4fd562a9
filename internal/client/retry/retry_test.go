package retry

import (
	"strings"
	"testing"
	"time"
)

// An address that does not answer must not cost every request its time, and must
// be tried again once it may be back.
func TestTargetsLeaveWhatFails(t *testing.T) {
	for name, c := range map[string]struct {
		statuses string // what a and b answer each time they are asked: . ok, x nothing, 5 busy
		asked    string
	}{
		"one that answers is kept":    {"....", "aaaa"},
		"busy: the next":              {"5.5.", "abba"},
		"silent: the next":            {"x...", "abbb"},
		"silent three times: skipped": {"xxxxxx..", "abababaa"},
		"all skipped: still somebody": {"xxxxxxxx", "abababab"},
	} {
		targets := NewTargets([]string{"a", "b"})
		asked := ""
		for i, s := range strings.Split(c.statuses, "") {
			now := time.Duration(i) * 100 * time.Millisecond
			target := targets.Pick(now)
			asked += target
			targets.Record(now, target, Outcome{Status: map[string]int{".": 200, "x": 0, "5": 503}[s]})
		}
		if asked != c.asked {
			t.Errorf("%s: asked %s, want %s", name, asked, c.asked)
		}
	}
	targets := NewTargets([]string{"a", "b"})
	for range 3 {
		targets.current = 0
		targets.Record(0, "a", Outcome{})
	}
	targets.current = 0
	if early := targets.Pick(skipDuration - 1); early != "b" {
		t.Errorf("in the pause %s is asked", early)
	}
	targets.current = 0
	if back := targets.Pick(skipDuration); back != "a" {
		t.Errorf("after the pause %s is asked", back)
	}
}
