package core

import (
	"pepperlever/internal/protocol"
	"pepperlever/internal/settings"
)

// limits are those that everything that is written keeps: the tightest of the present
// ones and those to come, since nobody tells when they change.
func (c *Core) limits() settings.StateLimits { return c.cfg.Params.State.Tightest() }

// writeRate is how many changes a second the state service takes. Fewer than it takes now
// would cost starts for nothing, so the rate to come counts only once it is in force.
func (c *Core) writeRate() float64 {
	if c.upgrade.lowRate {
		return c.limits().WriteRPS
	}
	return c.cfg.Params.State.WriteRPS
}

// bytesPerTask is how long the stored form of one task may be in chunks whose size follows
// from the settings. Those whose size the head tells are reckoned closer: a binding is the
// name of its machine, and as much again as five numbers take. headBytes is what a head
// takes beside the description and the first chunk.
const (
	bytesPerTask   = 64
	bytesOfNumbers = 28
	headBytes      = 160
)

// bytesPerBinding is how long the stored form of a binding may be, by the longest name of a
// machine that is known, and not less than that of a usual one.
func (c *Core) bytesPerBinding() int { return bytesOfNumbers + max(c.longestName, usualName) }

// usualName is the length of a usual machine's name.
const usualName = len("vm-000000000")

// chunkSize is the number of tasks under a key of a job whose head does not tell it.
func (c *Core) chunkSize() int { return tasksPerValue(c.cfg.Params.State.ValueKB) }

// smallChunk is the number of tasks under a key of a job by the tightest limits.
func (c *Core) smallChunk(specBytes int) int {
	left := int(c.limits().ValueKB*1024) - specBytes - headBytes
	return max(1, left/c.bytesPerBinding())
}

func tasksPerValue(kb float64) int { return max(1, int(kb*1024)/bytesPerTask) }

// Changes of a job's transaction besides its chunks: the head, or at the job's end the
// head's removal and the final state.
const (
	headChanges = 1
	endChanges  = 2
)

// chunksPerTxn keeps a transaction with that many other changes within the limits on
// changes and size.
func (c *Core) chunksPerTxn(others int) int {
	return max(1, min(c.limits().TxnOps-others, c.valuesPerTxn()-others))
}

// valuesPerTxn is how many values of the largest size fit into a transaction.
func (c *Core) valuesPerTxn() int {
	return int(float64(protocol.MaxBody) / 1024 * 3 / 4 / c.limits().ValueKB)
}

// maxConditions is how many conditions a transaction may have.
func (c *Core) maxConditions() int { return conditionsPerChange * c.limits().TxnOps }

// conditionsPerChange is how many conditions the state service takes for each change that
// a transaction may have.
const conditionsPerChange = 4

// specBytes is how long a stored description may be: a quarter of a value.
func (c *Core) specBytes() int { return int(c.limits().ValueKB*1024) / 4 }
