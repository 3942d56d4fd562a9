package core

import (
	"fmt"
	"testing"

	"pepperlever/internal/core/job"
	"pepperlever/internal/core/rollout"
	"pepperlever/internal/settings"
)

// Full chunks, whose size was chosen for the tightest limits, fit into one value under the upcoming
// limits, both in the head and under their own keys, even if every task is on a different machine.
func TestFullChunksFitTightestValueLimit(t *testing.T) {
	for _, kb := range []float64{1, 2, 4} {
		for _, name := range []string{"vm-%06d", "a-machine-with-a-rather-long-name-%06d"} {
			cfg := testSettings("a")
			cfg.Params.State.ValueKB, cfg.Params.State.Next = 16, settings.StateLimits{ValueKB: kb}
			c := New(cfg, settings.DefaultPolicy(), "a1")
			for _, node := range nodeNames {
				c.upgrade.versions.Observe(node, rollout.Record{Version: rollout.Current})
			}
			c.addMachine(fmt.Sprintf(name, 1))
			s := job.Spec{
				ID:        "req-1",
				Team:      "a team",
				Class:     "a class of jobs",
				Tasks:     500,
				Image:     "img-000017",
				EstimateS: 1234.5,
				Accepted:  1_790_000_000_000,
			}
			j := c.chunks.newJob(s)
			for i := range s.Tasks {
				j.Bind(i, &job.Binding{Machine: fmt.Sprintf(name, i), Attempt: 99_999, Token: 99_999, Epoch: 99})
			}
			j.Attempt, j.Nonce = 99_999, "node-with-a-name.1234567890.123456"
			writes, more := j.TakeChunkWrites(s.Tasks)
			if more || len(writes) < 2 {
				t.Fatalf("job was split into %d chunks of %d tasks, want several chunks written at once", len(writes), j.ChunkSize)
			}
			largest := len(j.Head())
			for _, w := range writes {
				largest = max(largest, len(w.Value))
			}
			if limit := int(kb * 1024); largest > limit || largest < limit/3 {
				t.Errorf("%v KiB, %s: a value with %d tasks per chunk takes %d bytes", kb, name, j.ChunkSize, largest)
			}
		}
	}
}
