package job

// MarkStored notes that chunk c has a key of its own in the store.
func (j *Job) MarkStored(c int) {
	if j.stored == nil {
		j.stored = map[int]bool{}
	}
	j.stored[c] = true
}

// Cancel makes every stored chunk come up for deletion once nothing is bound.
func (j *Job) Cancel() {
	j.Cancelled = true
	j.dirty[0] = true
	for c := range j.stored {
		j.dirty[c] = true
	}
}

// unused tells whether chunk c needs no key: every task of it is done, or the
// job is cancelled and nothing of the chunk is bound.
func (j *Job) unused(c int) bool {
	if !j.Cancelled {
		return j.chunkDone(c)
	}
	lo, hi := j.bounds(c)
	for i := range j.Bound {
		if i >= lo && i < hi {
			return false
		}
	}
	return true
}
