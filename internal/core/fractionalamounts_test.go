package core

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// maxScenarioTime is far longer than a random scenario takes, so that only an endless step exceeds it.
const maxScenarioTime = 5 * time.Minute

// Guards against whatever amounts that round differently make controllers do wrong: a step that never
// ends, and jobs that wait next to a machine with free capacity.
func TestInvariantsHoldWithFractionalAmounts(t *testing.T) {
	for _, fault := range []string{"one ends", "machines taken", "the cloud refuses", "leaders change"} {
		if faults[fault] == nil {
			t.Fatalf("no fault is named %q", fault)
		}
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(t *rapid.T) {
				steps := rapid.SliceOfN(drawScenarioStep(fault), 2, 24).Draw(t, "steps")
				endless := time.AfterFunc(maxScenarioTime, func() { panic("a step of a core does not end") })
				defer endless.Stop()
				runRandomScenario(t, steps, func(r *randomScenario) { r.fractionalAmounts = true })
			})
		})
	}
}
