package core

import (
	"testing"

	"pepperlever/internal/core/job"
)

// TestUnschedulableSetCoversOnlyJobsThatAskForAsMuch checks which jobs are taken to find no room
// because another found none.
func TestUnschedulableSetCoversOnlyJobsThatAskForAsMuch(t *testing.T) {
	base := job.Spec{Need: job.Resources{CPUs: 2, MemoryGB: 4}, Spot: true, EstimateS: 10}
	var s unschedulableSet
	s.add(&job.Job{Spec: base}, false)
	if (unschedulableSet{{&base, true}}).covers(&job.Job{Spec: base}, false, nil) {
		t.Error("ordinary machines were not tried, but count as full")
	}
	for name, k := range map[string]struct {
		change   func(*job.Job)
		reserved map[job.Resources]bool
		want     bool
	}{
		"alike":                        {func(*job.Job) {}, nil, true},
		"larger":                       {func(j *job.Job) { j.Need.CPUs = 3 }, nil, true},
		"less memory":                  {func(j *job.Job) { j.Need.MemoryGB = 1 }, nil, false},
		"shorter":                      {func(j *job.Job) { j.EstimateS = 5 }, nil, false},
		"not on spot":                  {func(j *job.Job) { j.Spot = false }, nil, false},
		"of other types":               {func(j *job.Job) { j.Types = []string{"x"} }, nil, false},
		"larger, reserved for":         {func(j *job.Job) { j.Need.CPUs = 8 }, map[job.Resources]bool{{CPUs: 8}: true}, false},
		"alike, reserved for larger":   {func(*job.Job) {}, map[job.Resources]bool{{CPUs: 8}: true}, true},
		"larger, reserved for smaller": {func(j *job.Job) { j.Need.CPUs = 8 }, map[job.Resources]bool{{CPUs: 1}: true}, true},
		"a gang":                       {func(j *job.Job) { j.Kind = job.Gang }, nil, false},
		"failed before":                {func(j *job.Job) { j.FailedOn = []string{"vm"} }, nil, false},
	} {
		j := &job.Job{Spec: base}
		k.change(j)
		if got := s.covers(j, false, k.reserved); got != k.want {
			t.Errorf("%s: got %v", name, got)
		}
	}
}
