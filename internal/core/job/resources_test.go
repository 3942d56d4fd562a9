package job

import (
	"testing"

	"pgregory.net/rapid"
)

// drawAmount draws an amount as users write it: whole, decimal, in single precision, or tiny.
func drawAmount(t *rapid.T, label string) float64 {
	switch rapid.SampledFrom([]string{"none", "whole", "decimal", "single precision", "tiny"}).Draw(t, label+" form") {
	case "whole":
		return float64(rapid.IntRange(1, 96).Draw(t, label))
	case "decimal":
		return float64(rapid.IntRange(1, 9600).Draw(t, label)) / 100
	case "single precision":
		return float64(float32(rapid.IntRange(1, 96).Draw(t, label)) / 3)
	case "tiny":
		return 1e-9 * float64(rapid.IntRange(1, 2000).Draw(t, label))
	}
	return 0
}

func drawResources(t *rapid.T, label string) Resources {
	return Resources{
		CPUs:     drawAmount(t, label+" CPUs"),
		GPUs:     drawAmount(t, label+" GPUs"),
		MemoryGB: drawAmount(t, label+" memory"),
	}
}

// Guards against two answers to the question whether a task fits: a loop that allocates what FitCount
// counts, while Fits holds, must allocate something in each pass and overcommit nothing.
func TestFitCountAgreesWithFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		free, need := drawResources(t, "free"), drawResources(t, "need")
		for _, taken := range []int{0, rapid.IntRange(0, 200).Draw(t, "taken")} {
			left := free.Plus(need, -float64(taken))
			count := need.FitCount(left, MaxTasks)
			if need.Fits(left) != (count > 0) {
				t.Fatalf("%v into %v: Fits is %v, FitCount is %d", need, left, need.Fits(left), count)
			}
			rest := left.Plus(need, -float64(count))
			if count > 0 && (rest.CPUs < -2*roundingTolerance || rest.GPUs < -2*roundingTolerance || rest.MemoryGB < -2*roundingTolerance) {
				t.Fatalf("%d times %v leaves %v of %v", count, need, rest, left)
			}
		}
	})
}
