package core

import (
	"testing"

	"pepperlever/internal/core/job"
)

// TestUnschedulableSetCovers checks which jobs are considered impossible to place because another
// job could not be placed.
func TestUnschedulableSetCovers(t *testing.T) {
	base := job.Spec{Need: job.Resources{CPUs: 2, MemoryGB: 4}, Spot: true, EstimateS: 10}
	var s unschedulableSet
	s.add(&job.Job{Spec: base}, false)
	if (unschedulableSet{{&base, true}}).covers(&job.Job{Spec: base}, false, nil) {
		t.Error("job is covered by a need that was only tried on spot machines")
	}
	for name, tc := range map[string]struct {
		change   func(*job.Job)
		reserved map[job.Resources]bool
		want     bool
	}{
		"equal":                        {func(*job.Job) {}, nil, true},
		"larger":                       {func(j *job.Job) { j.Need.CPUs = 3 }, nil, true},
		"a little smaller":             {func(j *job.Job) { j.Need.CPUs -= 5e-7 }, nil, false},
		"less memory":                  {func(j *job.Job) { j.Need.MemoryGB = 1 }, nil, false},
		"shorter":                      {func(j *job.Job) { j.EstimateS = 5 }, nil, false},
		"no spot":                      {func(j *job.Job) { j.Spot = false }, nil, false},
		"other types":                  {func(j *job.Job) { j.Types = []string{"x"} }, nil, false},
		"larger, reserved for":         {func(j *job.Job) { j.Need.CPUs = 8 }, map[job.Resources]bool{{CPUs: 8}: true}, false},
		"equal, reserved for larger":   {func(*job.Job) {}, map[job.Resources]bool{{CPUs: 8}: true}, true},
		"larger, reserved for smaller": {func(j *job.Job) { j.Need.CPUs = 8 }, map[job.Resources]bool{{CPUs: 1}: true}, true},
		"gang":                         {func(j *job.Job) { j.Kind = job.Gang }, nil, false},
		"failed before":                {func(j *job.Job) { j.FailedOn = []string{"vm"} }, nil, false},
	} {
		j := &job.Job{Spec: base}
		tc.change(j)
		if got := s.covers(j, false, tc.reserved); got != tc.want {
			t.Errorf("%s: got covers %v", name, got)
		}
	}
}
