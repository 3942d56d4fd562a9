package core

import (
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// storeLimits are the store's limits as this controller applies them to what it writes. Limits
// may be lowered at any moment of an upgrade, which nobody announces, so sizes and counts keep
// within the tightest of the present limits and those to come.
type storeLimits struct {
	settings *settings.State
	// writeRateLowered is set once the store has shown that the lower write rate is in force.
	writeRateLowered bool
}

func (l *storeLimits) tightest() settings.StateLimits { return l.settings.Tightest() }

// Sizes of stored jobs in bytes.
const (
	// bytesPerTask bounds the stored form of one task in chunks of the default size.
	bytesPerTask = 64
	// bindingBytes bounds the stored form of a binding without the name of its machine: five
	// numbers.
	bindingBytes = 28
	// headBytes bounds what a head takes beside the description and the first chunk.
	headBytes = 160
	// usualNameBytes is the length of a usual machine's name.
	usualNameBytes = len("vm-000000000")
)

// Changes of a job's transaction besides its chunks: the head, or at the job's end the
// head's removal and the final state.
const (
	headChanges = 1
	endChanges  = 2
)

// conditionsPerChange is how many conditions the store takes for each change that a
// transaction may have.
const conditionsPerChange = 4

// writeRate is how many changes a second the store takes. A lower rate to come counts only
// once it is in force: keeping to it earlier would delay starts for nothing.
func (l *storeLimits) writeRate() float64 {
	if l.writeRateLowered {
		return l.tightest().WriteRPS
	}
	return l.settings.WriteRPS
}

// requestRate is how many requests a second the store takes.
func (l *storeLimits) requestRate() float64 { return l.tightest().RPS }

// maxChanges is how many changes a transaction may have.
func (l *storeLimits) maxChanges() int { return l.tightest().TxnOps }

// maxConditions is how many conditions a transaction may have.
func (l *storeLimits) maxConditions() int { return conditionsPerChange * l.maxChanges() }

// valueBytes is how long a value may be.
func (l *storeLimits) valueBytes() int { return int(l.tightest().ValueKB * 1024) }

// valueShrinks tells whether values will have to be shorter than they may be now.
func (l *storeLimits) valueShrinks() bool { return l.tightest().ValueKB < l.settings.ValueKB }

// maxSpecBytes is how long a stored description may be: a quarter of a value.
func (l *storeLimits) maxSpecBytes() int { return l.valueBytes() / 4 }

// maxDependencyBytes is how long the list of a job's dependencies may be: what the description
// and the head's other fields leave of a value. It is stored only while nothing is bound.
func (l *storeLimits) maxDependencyBytes() int { return l.valueBytes() * 5 / 8 }

// defaultChunkSize is the number of tasks in a chunk of a job whose head does not state it.
// It follows from the present limit alone, so that all controllers agree on it.
func (l *storeLimits) defaultChunkSize() int {
	return max(1, int(l.settings.ValueKB*1024)/bytesPerTask)
}

// tightChunkSize is the number of tasks in a chunk that keeps within the tightest limit in the
// head too, beside a description of specBytes. Machines' names have up to nameBytes.
func (l *storeLimits) tightChunkSize(specBytes, nameBytes int) int {
	left := l.valueBytes() - specBytes - headBytes
	return max(1, left/(bindingBytes+max(nameBytes, usualNameBytes)))
}

// chunksPerTxn is how many chunks a transaction with that many other changes may have.
func (l *storeLimits) chunksPerTxn(others int) int {
	return max(1, min(l.maxChanges()-others, l.valuesPerTxn()-others))
}

// valuesPerTxn is how many values of the largest size fit into a transaction.
func (l *storeLimits) valuesPerTxn() int {
	return int(float64(protocol.MaxBody) / 1024 * 3 / 4 / l.tightest().ValueKB)
}

// relayPagesPerTxn is how many pages of the store relay fit into a transaction whatever the
// length of a value.
const relayPagesPerTxn = 4

// relayPageBytes is how long a page of the store relay may be. Several pages fit into one
// transaction: the page with the heartbeat changes each time and must not crowd out the others.
func (l *storeLimits) relayPageBytes() int {
	return min(l.valueBytes()*7/8, protocol.MaxBody*3/4/relayPagesPerTxn)
}

// maxRelayPages is how many pages of the store relay a transaction may have.
func (l *storeLimits) maxRelayPages() int {
	return max(2, min(l.maxChanges(), protocol.MaxBody*3/4/l.relayPageBytes()))
}

// storeLimitLowered notes that the store's limits of after the upgrade are in force.
func (c *Core) storeLimitLowered() {
	if c.limits.writeRateLowered {
		return
	}
	c.limits.writeRateLowered = true
	c.log(Info, "store write rate lowered", "changes_per_second", c.limits.writeRate())
}
