package core

import (
	"testing"

	"pepperlever/internal/core/job"
)

func TestOnlyJobsThatAskForAsMuchAreTakenToFindNoRoomEither(t *testing.T) {
	base := job.Spec{Need: job.Resources{CPUs: 2, MemoryGB: 4}, Spot: true, EstimateS: 10}
	var s stuck
	s.add(&job.Job{Spec: base}, false)
	if (stuck{{&base, true}}).holds(&job.Job{Spec: base}, false) {
		t.Error("dear machines were not tried, but count as full")
	}
	for name, k := range map[string]struct {
		change func(*job.Job)
		want   bool
	}{
		"alike":          {func(*job.Job) {}, true},
		"larger":         {func(j *job.Job) { j.Need.CPUs = 3 }, true},
		"less memory":    {func(j *job.Job) { j.Need.MemoryGB = 1 }, false},
		"shorter":        {func(j *job.Job) { j.EstimateS = 5 }, false},
		"not on spot":    {func(j *job.Job) { j.Spot = false }, false},
		"of other types": {func(j *job.Job) { j.Types = []string{"x"} }, false},
		"a gang":         {func(j *job.Job) { j.Kind = job.Gang }, false},
		"failed before":  {func(j *job.Job) { j.FailedOn = []string{"vm"} }, false},
	} {
		j := &job.Job{Spec: base}
		k.change(j)
		if got := s.holds(j, false); got != k.want {
			t.Errorf("%s: got %v", name, got)
		}
	}
}
