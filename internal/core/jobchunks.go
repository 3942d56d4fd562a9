package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
)

// chunkPolicy chooses the chunk size in which jobs are stored. Chunks become smaller only once all
// controllers are upgraded: earlier versions do not know heads and chunk keys that contain the size,
// and derive it from the settings.
type chunkPolicy struct {
	*environment
	limits   *storeLimits
	upgrade  *upgradeTracker
	machines *worker.Registry
}

// needsTightChunks reports whether chunks must already fit into an upcoming, lower value limit.
func (p *chunkPolicy) needsTightChunks() bool {
	return p.upgrade.complete() && p.limits.valueLimitDecreases()
}

// newJob returns a job that is about to be accepted, in a layout that all controllers can read.
func (p *chunkPolicy) newJob(spec job.Spec) *job.Job {
	size := p.limits.defaultChunkSize()
	if p.needsTightChunks() {
		tight := p.limits.tightChunkSize(spec.StoredBytes(), p.machines.LongestName())
		if tight < size {
			return job.NewWithChunkSize(spec, tight, p.now.Steady)
		}
	}
	return job.New(spec, size, p.now.Steady)
}

// splitOversized divides the chunks of a stored job, before the job is written again, if they might
// exceed the upcoming limits. It reports whether it did.
func (p *chunkPolicy) splitOversized(j *job.Job) bool {
	if !p.needsTightChunks() {
		return false
	}
	size := p.limits.tightChunkSize(j.SpecBytes(), p.machines.LongestName())
	if j.ChunkSize <= size || !j.SplitChunks(size, p.limits.chunksPerTxn(headChanges)) {
		return false
	}
	p.log(Debug, "job chunks split", "job", j.ID, "chunk_size", j.ChunkSize)
	return true
}
