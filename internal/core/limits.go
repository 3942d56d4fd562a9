package core

import (
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// storeLimits provides the limits of the store that this controller's writes observe. During an
// upgrade the limits may be lowered at any time without notice, so sizes and counts observe the
// tighter of the current and the upcoming limits.
type storeLimits struct {
	settings *settings.State
	// writeRateLowered is set once the store enforces the upcoming, lower write rate.
	writeRateLowered bool
}

func (l *storeLimits) lowest() settings.StateLimits { return l.settings.LowestLimits() }

// Sizes of stored jobs in bytes.
const (
	// bytesPerTask is the assumed maximum of the encoded size of one task in chunks of the default
	// size.
	bytesPerTask = 64
	// bindingBytes is the assumed maximum of the encoded size of a binding without the name of its
	// machine: five numbers with at most 18 digits in total, and punctuation.
	bindingBytes = 28
	// headOverheadBytes is the assumed maximum of the encoded size of a head without the spec and
	// the first chunk.
	headOverheadBytes = 160
	// typicalNameBytes is the length of a typical machine name.
	typicalNameBytes = len("vm-000000000")
)

// Changes in a job's transaction besides its chunks: the write of the head, or at the end of the
// job the deletion of the head and the final state.
const (
	headChanges = 1
	endChanges  = 2
)

// conditionsPerChange is the ratio of the store's limit on conditions per transaction to its limit
// on changes.
const conditionsPerChange = 4

// writeRate returns the store's write rate limit in changes per second. An upcoming, lower limit
// applies only once the store enforces it: observing it earlier would delay starts needlessly.
func (l *storeLimits) writeRate() float64 {
	if l.writeRateLowered {
		return l.lowest().WriteRPS
	}
	return l.settings.WriteRPS
}

// requestRate returns the store's request rate limit in requests per second.
func (l *storeLimits) requestRate() float64 { return l.lowest().RPS }

// maxChanges returns the maximum number of changes in a transaction.
func (l *storeLimits) maxChanges() int { return l.lowest().TxnOps }

// maxConditions returns the maximum number of conditions in a transaction.
func (l *storeLimits) maxConditions() int { return conditionsPerChange * l.maxChanges() }

// valueBytes returns the maximum size of a value.
func (l *storeLimits) valueBytes() int { return int(l.lowest().ValueKB * 1024) }

// valueLimitDecreases reports whether the upcoming limit on the size of a value is lower than the
// current one.
func (l *storeLimits) valueLimitDecreases() bool { return l.lowest().ValueKB < l.settings.ValueKB }

// maxSpecBytes returns the maximum size of a stored spec: a quarter of a value.
func (l *storeLimits) maxSpecBytes() int { return l.valueBytes() / 4 }

// maxDependencyBytes returns the maximum size of a job's dependency list: what the spec and the
// other fields of the head leave of a value. The list is stored only while nothing is bound, so the
// head then holds no bindings.
func (l *storeLimits) maxDependencyBytes() int { return l.valueBytes() * 5 / 8 }

// defaultChunkSize returns the number of tasks per chunk for jobs whose head does not state it. It
// is derived from the current limit alone, so that all controllers agree on it.
func (l *storeLimits) defaultChunkSize() int {
	return max(1, int(l.settings.ValueKB*1024)/bytesPerTask)
}

// tightChunkSize returns the number of tasks per chunk for which every chunk fits into the tightest
// value limit, even the one in the head, which shares its value with a spec of specBytes. Machine
// names have up to nameBytes.
func (l *storeLimits) tightChunkSize(specBytes, nameBytes int) int {
	remaining := l.valueBytes() - specBytes - headOverheadBytes
	return max(1, remaining/(bindingBytes+max(nameBytes, typicalNameBytes)))
}

// chunksPerTxn returns the maximum number of chunks in a transaction with the given number of other
// changes.
func (l *storeLimits) chunksPerTxn(otherChanges int) int {
	return max(1, min(l.maxChanges()-otherChanges, l.valuesPerTxn()-otherChanges))
}

// valuesPerTxn returns how many values of the maximum size fit into a transaction.
func (l *storeLimits) valuesPerTxn() int {
	return int(float64(protocol.MaxBody) / 1024 * 3 / 4 / l.lowest().ValueKB)
}

// relayPagesPerTxn is the number of store relay pages that fit into a transaction regardless of the
// value limit.
const relayPagesPerTxn = 4

// relayPageBytes returns the maximum size of a store relay page. Several pages fit into one
// transaction, because the page with the heartbeat changes every time and must not keep the others
// from being written.
func (l *storeLimits) relayPageBytes() int {
	return min(l.valueBytes()*7/8, protocol.MaxBody*3/4/relayPagesPerTxn)
}

// maxRelayPages returns the maximum number of store relay pages in a transaction.
func (l *storeLimits) maxRelayPages() int {
	return max(2, min(l.maxChanges(), protocol.MaxBody*3/4/l.relayPageBytes()))
}

// handleStoreLimitLowered records that the store enforces the upcoming, lower write rate.
func (c *Core) handleStoreLimitLowered() {
	if c.limits.writeRateLowered {
		return
	}
	c.limits.writeRateLowered = true
	c.log(Info, "store write rate lowered", "changes_per_second", c.limits.writeRate())
}
