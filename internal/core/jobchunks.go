package core

import (
	"pepperlever/internal/core/job"
	"pepperlever/internal/core/worker"
)

// chunkPolicy decides in chunks of which size jobs are stored. Chunks become smaller only once all
// controllers are upgraded, since earlier versions derive the size from the settings.
type chunkPolicy struct {
	*environment
	limits   *storeLimits
	upgrade  *upgradeTracker
	machines *worker.Registry
}

// wantsTightChunks tells whether chunks are to fit values that will have to be shorter than now.
func (p *chunkPolicy) wantsTightChunks() bool {
	return p.upgrade.complete() && p.limits.valueShrinks()
}

// newJob makes a job that is about to be accepted, in the layout that all controllers read.
func (p *chunkPolicy) newJob(spec job.Spec) *job.Job {
	size := p.limits.defaultChunkSize()
	if p.wantsTightChunks() {
		tight := p.limits.tightChunkSize(spec.StoredBytes(), p.machines.LongestName())
		if tight < size {
			return job.NewWithChunkSize(spec, tight, p.now.Steady)
		}
	}
	return job.New(spec, size, p.now.Steady)
}

// split divides a stored job whose chunks may be too large for the limits to come, before it is
// written again, and reports whether it did.
func (p *chunkPolicy) split(j *job.Job) bool {
	if !p.wantsTightChunks() {
		return false
	}
	size := p.limits.tightChunkSize(j.SpecBytes(), p.machines.LongestName())
	if j.ChunkSize <= size || !j.SplitChunks(size, p.limits.chunksPerTxn(headChanges)) {
		return false
	}
	p.log(Debug, "job chunks split", "job", j.ID, "chunk_size", j.ChunkSize)
	return true
}
